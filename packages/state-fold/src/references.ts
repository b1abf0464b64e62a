/** Consistency rules between resources. They are checked in the fold, which makes every box decide the same. */
import type { FieldProblem } from "@linkfall/errors";
import {
  type Adapter,
  type Model,
  type Pool,
  type Resource,
  type ResourceKind,
  resourceKey,
} from "@linkfall/types";

/** Resources by key, as they would be after a write. */
export type ResourcesByKey = ReadonlyMap<string, Resource>;

function missingReference(
  byKey: ResourcesByKey,
  referrer: Resource,
  field: string,
  kind: ResourceKind,
  name: string,
): readonly FieldProblem[] {
  if (byKey.has(resourceKey({ kind, name }))) return [];
  return [{ field: `${resourceKey(referrer)}.${field}`, reason: `there is no ${kind} "${name}"` }];
}

function accountProblems(byKey: ResourcesByKey, referrer: Resource, accounts: readonly string[]) {
  return accounts.flatMap((account, index) =>
    missingReference(byKey, referrer, `accounts.${index}`, "account", account),
  );
}

function resourceProblems(byKey: ResourcesByKey, resource: Resource): readonly FieldProblem[] {
  switch (resource.kind) {
    case "model":
      return [
        ...missingReference(byKey, resource, "pool", "pool", resource.pool),
        ...accountProblems(byKey, resource, resource.accounts),
      ];
    case "adapter":
      return [
        ...missingReference(byKey, resource, "model", "model", resource.model),
        ...accountProblems(byKey, resource, resource.accounts),
        ...adapterNameProblems(byKey, resource),
      ];
    case "engine":
      return missingReference(byKey, resource, "pool", "pool", resource.pool);
    case "service":
      return accountProblems(byKey, resource, resource.accounts);
    default:
      return [];
  }
}

/** Callers select models and adapters by the same field, which requires distinct names. */
function adapterNameProblems(byKey: ResourcesByKey, adapter: Adapter): readonly FieldProblem[] {
  if (!byKey.has(resourceKey({ kind: "model", name: adapter.name }))) return [];
  return [{ field: `${resourceKey(adapter)}.name`, reason: "the name is already used by a model" }];
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
        reason: `the token is already used by account "${owner}"`,
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
      reason: `the pools request ${atOnce} in total, the weight store allows ${deployment.weightStoreLoadsAtOnce}`,
    });
  }
  if (perSecond > deployment.weightStoreLoadsPerSecond) {
    problems.push({
      field: "pool.loadsPerSecond",
      reason: `the pools request ${perSecond} in total, the weight store allows ${deployment.weightStoreLoadsPerSecond}`,
    });
  }
  return problems;
}

/** Rejects models that fit on no accelerator of their pool, as they could never be loaded. */
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
    reason: `no accelerator of pool "${model.pool}" has enough memory`,
  }));
}

/** Returns all violations of the rules between resources; empty if there are none. */
export function referenceProblems(byKey: ResourcesByKey): readonly FieldProblem[] {
  const resources = [...byKey.values()];
  return [
    ...resources.flatMap((resource) => resourceProblems(byKey, resource)),
    ...tokenProblems(resources),
    ...weightStoreProblems(resources),
    ...sizeProblems(resources),
  ];
}
