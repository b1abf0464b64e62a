/** Initial desired state of a run: three failure domains, six engines, ten models. */
import { createHash } from "node:crypto";
import type { Engine, Resource } from "@linkfall/types";

export const poolName = "bulletins";
/** Names of the boxes; a restarted box keeps its name. */
export const boxNames = ["b1", "b2", "b3", "b4"] as const;
export const domains = ["north", "south", "east"] as const;
const engineCount = 6;
const modelCount = 10;
const acceleratorMb = 24_000;

export const accounts = ["dispatch", "tunnels"] as const;
export type AccountName = (typeof accounts)[number];

export function hashOf(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

export function tokenOf(account: AccountName): string {
  return `token-of-${account}`;
}

/** The engines. Every third one is not fenced and accepts orders of any epoch. */
export const soakEngines: readonly Engine[] = Array.from({ length: engineCount }, (_, index) => ({
  kind: "engine",
  name: `e${index + 1}`,
  pool: poolName,
  address: `10.2.0.${index + 1}:80`,
  domain: domains[index % domains.length],
  acceleratorsMb: [acceleratorMb],
  batchReserveMb: 4_000,
  role: "mixed",
  fenced: index % 3 !== 2,
  concurrency: 4,
  leaving: false,
}));

export const serviceAddresses = ["10.3.0.1:80", "10.3.0.2:80"] as const;

/** Returns a model; accounts own the models in turn. */
export function soakModel(index: number, version = "1"): Extract<Resource, { kind: "model" }> {
  return {
    kind: "model",
    name: `m${index}`,
    pool: poolName,
    version,
    sizeMb: 5_000 + 500 * (index % 5),
    accounts: [accounts[index % accounts.length]],
    priority: 1 + (index % 7),
    minReplicas: index < 2 ? 2 : 1,
  };
}

/** Returns an adapter of the model with the same index. */
export function soakAdapter(index: number, version = "1"): Extract<Resource, { kind: "adapter" }> {
  return {
    kind: "adapter",
    name: `a${index}`,
    model: `m${index}`,
    version,
    sizeMb: 300,
    accounts: [accounts[index % accounts.length]],
  };
}

/** Returns all resources of the initial state. */
export function soakResources(): readonly Resource[] {
  return [
    {
      kind: "deployment",
      name: "soak",
      attainmentWeight: 1,
      movesWeight: 1,
      weightStoreLoadsPerSecond: 2,
      weightStoreLoadsAtOnce: 8,
    },
    ...accounts.map((name): Resource => ({
      kind: "account",
      name,
      tokenHash: hashOf(tokenOf(name)),
      share: 1,
      requestsPerSecond: 500,
      maxPriority: 9,
    })),
    { kind: "pool", name: poolName, loadsPerSecond: 2, loadsAtOnce: 8 },
    ...Array.from({ length: modelCount }, (_, index) => soakModel(index)),
    ...[0, 1, 2].map((index) => soakAdapter(index)),
    ...soakEngines,
    {
      kind: "service",
      name: "feed",
      targets: serviceAddresses.map((address, index) => ({ address, domain: domains[index] })),
      accounts: [...accounts],
      notRepeatablePaths: ["/alerts"],
    },
  ];
}
