/** Resources of a fleet of the size expected in two years. */
import { createHash } from "node:crypto";
import type { Engine, Resource } from "@linkfall/types";

export function createEngineResource(index: number, accelerators = 8): Engine {
  return {
    kind: "engine",
    name: `engine-${index}`,
    pool: `pool-${index % 63}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`,
    domain: `domain-${index % 9}`,
    acceleratorsMb: Array(accelerators).fill(80_000),
    batchReserveMb: 0,
    role: "mixed",
    fenced: true,
    concurrency: 32,
    leaving: false,
  };
}

export function createModelResource(index: number): Resource {
  return {
    kind: "model",
    name: `model-${index}`,
    pool: `pool-${index % 63}`,
    version: "1",
    sizeMb: 20_000,
    accounts: [`account-${index % 300}`],
    priority: 5,
    minReplicas: 2,
  };
}

/** Creates all resources of the fleet, with engines, models and adapters multiplied by `scale`. */
export function createResourcesAtScale(scale: number): readonly Resource[] {
  const list = <T>(count: number, make: (index: number) => T) =>
    Array.from({ length: Math.ceil(count * scale) }, (_, index) => make(index));
  return [
    ...Array.from({ length: 63 }, (_, index): Resource => ({
      kind: "pool",
      name: `pool-${index}`,
      loadsPerSecond: 2,
      loadsAtOnce: 8,
    })),
    ...Array.from({ length: 300 }, (_, index): Resource => ({
      kind: "account",
      name: `account-${index}`,
      tokenHash: createHash("sha256").update(String(index)).digest("hex"),
      share: 1,
      requestsPerSecond: 100,
      maxPriority: 5,
    })),
    ...list(3_800, (index) => createEngineResource(index)),
    ...list(440, createModelResource),
    ...list(1_000, (index): Resource => ({
      kind: "adapter",
      name: `adapter-${index}`,
      model: `model-${index % Math.ceil(440 * scale)}`,
      version: "1",
      sizeMb: 300,
      accounts: [`account-${index % 300}`],
    })),
  ];
}
