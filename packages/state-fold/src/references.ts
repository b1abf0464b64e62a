/** Rules between resources. They are checked in the fold, so that every box decides alike. */
import type { FieldProblem } from "@linkfall/errors";
import {
  type Adapter,
  type Model,
  type Pool,
  type Resource,
  type ResourceKind,
  resourceKey,
} from "@linkfall/types";

/** Resources by key, as they would stand after a write. */
export type ResourcesByKey = ReadonlyMap<string, Resource>;

function missingReference(
  lookup: ResourcesByKey,
  from: Resource,
  field: string,
  kind: ResourceKind,
  name: string,
): readonly FieldProblem[] {
  if (lookup.has(resourceKey({ kind, name }))) return [];
  return [{ field: `${resourceKey(from)}.${field}`, reason: `there is no ${kind} "${name}"` }];
}

function accountProblems(lookup: ResourcesByKey, from: Resource, accounts: readonly string[]) {
  return accounts.flatMap((account, index) =>
    missingReference(lookup, from, `accounts.${index}`, "account", account),
  );
}

function resourceProblems(lookup: ResourcesByKey, resource: Resource): readonly FieldProblem[] {
  switch (resource.kind) {
    case "model":
      return [
        ...missingReference(lookup, resource, "pool", "pool", resource.pool),
        ...accountProblems(lookup, resource, resource.accounts),
      ];
    case "adapter":
      return [
        ...missingReference(lookup, resource, "model", "model", resource.model),
        ...accountProblems(lookup, resource, resource.accounts),
        ...adapterNameProblems(lookup, resource),
      ];
    case "engine":
      return missingReference(lookup, resource, "pool", "pool", resource.pool);
    case "service":
      return accountProblems(lookup, resource, resource.accounts);
    default:
      return [];
  }
}

/** Callers name models and adapters in one field, so the names must differ. */
function adapterNameProblems(lookup: ResourcesByKey, adapter: Adapter): readonly FieldProblem[] {
  if (!lookup.has(resourceKey({ kind: "model", name: adapter.name }))) return [];
  return [{ field: `${resourceKey(adapter)}.name`, reason: "a model has this name" }];
}

function tokenProblems(resources: readonly Resource[]): readonly FieldProblem[] {
  const owners = new Map<string, string>();
  const problems: FieldProblem[] = [];
  for (const resource of resources) {
    if (resource.kind !== "account") continue;
    const owner = owners.get(resource.tokenHash);
    if (owner === undefined) owners.set(resource.tokenHash, resource.name);
    else
      problems.push({
        field: `${resourceKey(resource)}.tokenHash`,
        reason: `also of account "${owner}"`,
      });
  }
  return problems;
}

function weightStoreProblems(resources: readonly Resource[]): readonly FieldProblem[] {
  const deployment = resources.find((resource) => resource.kind === "deployment");
  if (deployment === undefined) return [];
  const pools = resources.filter((resource): resource is Pool => resource.kind === "pool");
  const atOnce = pools.reduce((sum, pool) => sum + pool.loadsAtOnce, 0);
  const perSecond = pools.reduce((sum, pool) => sum + pool.loadsPerSecond, 0);
  const problems: FieldProblem[] = [];
  if (atOnce > deployment.weightStoreLoadsAtOnce) {
    problems.push({
      field: "pool.loadsAtOnce",
      reason: `pools together ask for ${atOnce}, the weight store allows ${deployment.weightStoreLoadsAtOnce}`,
    });
  }
  if (perSecond > deployment.weightStoreLoadsPerSecond) {
    problems.push({
      field: "pool.loadsPerSecond",
      reason: `pools together ask for ${perSecond}, the weight store allows ${deployment.weightStoreLoadsPerSecond}`,
    });
  }
  return problems;
}

/** A model that fits on no accelerator of its pool could never be reachable. */
function sizeProblems(resources: readonly Resource[]): readonly FieldProblem[] {
  const largest = new Map<string, number>();
  for (const resource of resources) {
    if (resource.kind !== "engine") continue;
    const size = Math.max(...resource.acceleratorsMb);
    largest.set(resource.pool, Math.max(size, largest.get(resource.pool) ?? 0));
  }
  const tooLarge = (resource: Resource): resource is Model =>
    resource.kind === "model" &&
    largest.has(resource.pool) &&
    resource.sizeMb > (largest.get(resource.pool) ?? 0);
  return resources.filter(tooLarge).map((model) => ({
    field: `${resourceKey(model)}.sizeMb`,
    reason: `no accelerator of pool "${model.pool}" is as large`,
  }));
}

/** All that is wrong between the resources; empty when the state may stand. */
export function referenceProblems(lookup: ResourcesByKey): readonly FieldProblem[] {
  const resources = [...lookup.values()];
  return [
    ...resources.flatMap((resource) => resourceProblems(lookup, resource)),
    ...tokenProblems(resources),
    ...weightStoreProblems(resources),
    ...sizeProblems(resources),
  ];
}
