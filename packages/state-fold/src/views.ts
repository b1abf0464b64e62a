/** Typed views of the desired state. */
import type {
  Account,
  Adapter,
  Deployment,
  Engine,
  Model,
  PlainService,
  Pool,
  Resource,
  ResourceKind,
} from "@linkfall/types";
import type { FoldedState } from "./state.js";

/** The desired state, sorted by kind for quick look-up. Built once for each accepted change. */
export interface DesiredState {
  readonly deployment: Deployment;
  readonly accounts: ReadonlyMap<string, Account>;
  /** Accounts by the hash of their token. */
  readonly accountsByToken: ReadonlyMap<string, Account>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly models: ReadonlyMap<string, Model>;
  readonly adapters: ReadonlyMap<string, Adapter>;
  readonly engines: ReadonlyMap<string, Engine>;
  /** Engines by pool: each request looks at those of one pool only. */
  readonly enginesByPool: ReadonlyMap<string, readonly Engine[]>;
  readonly services: ReadonlyMap<string, PlainService>;
}

/** Weights where operators have declared none. */
const defaultDeployment: Deployment = {
  kind: "deployment",
  name: "default",
  attainmentWeight: 1,
  movesWeight: 1,
  weightStoreLoadsPerSecond: 2,
  weightStoreLoadsAtOnce: 8,
};

function byName<K extends ResourceKind>(
  resources: readonly Resource[],
  kind: K,
): ReadonlyMap<string, Extract<Resource, { kind: K }>> {
  const ofKind = resources.filter(
    (resource): resource is Extract<Resource, { kind: K }> => resource.kind === kind,
  );
  return new Map(ofKind.map((resource) => [resource.name, resource]));
}

function byPool(engines: Iterable<Engine>): ReadonlyMap<string, readonly Engine[]> {
  const pools = new Map<string, Engine[]>();
  for (const engine of engines) {
    const ofPool = pools.get(engine.pool) ?? [];
    ofPool.push(engine);
    pools.set(engine.pool, ofPool);
  }
  return pools;
}

/** Sorts the resources of the folded state. */
export function desiredStateOf(state: FoldedState): DesiredState {
  const resources = [...state.resources.values()].map((stored) => stored.resource);
  const accounts = byName(resources, "account");
  const engines = byName(resources, "engine");
  return {
    deployment: [...byName(resources, "deployment").values()][0] ?? defaultDeployment,
    accounts,
    accountsByToken: new Map([...accounts.values()].map((entry) => [entry.tokenHash, entry])),
    pools: byName(resources, "pool"),
    models: byName(resources, "model"),
    adapters: byName(resources, "adapter"),
    engines,
    enginesByPool: byPool(engines.values()),
    services: byName(resources, "service"),
  };
}
