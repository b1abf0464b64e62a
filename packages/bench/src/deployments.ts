/** Two sample deployments that the benchmarks simulate. */
import { createHash } from "node:crypto";
import type { WorldTargets } from "@linkfall/soak";
import type { Adapter, Engine, Model, Resource } from "@linkfall/types";

/** Targets and resources of a deployment. */
export interface Deployment {
  readonly name: "isar" | "voltcell";
  readonly targets: WorldTargets;
  readonly boxes: number;
  readonly models: readonly Model[];
  readonly adapters: readonly Adapter[];
  readonly resources: readonly Resource[];
  /** Requests per second without bursts or shifts. */
  readonly baseRate: number;
}

/** Parameters from which a deployment is generated. */
interface DeploymentShape {
  readonly name: Deployment["name"];
  readonly domains: readonly string[];
  readonly engines: number;
  readonly services: number;
  readonly boxes: number;
  readonly models: number;
  readonly adapters: number;
  readonly attainmentWeight: number;
  readonly movesWeight: number;
  readonly baseRate: number;
}

const shapes: readonly DeploymentShape[] = [
  {
    name: "isar",
    domains: ["garching", "freising", "rosenheim", "murnau"],
    engines: 13,
    services: 4,
    boxes: 8,
    models: 40,
    adapters: 95,
    attainmentWeight: 3,
    movesWeight: 1,
    baseRate: 32,
  },
  {
    name: "voltcell",
    domains: ["taoyuan", "neihu", "banqiao"],
    engines: 13,
    services: 3,
    boxes: 7,
    models: 35,
    adapters: 100,
    attainmentWeight: 1,
    movesWeight: 3,
    baseRate: 32,
  },
];

const pool = "bulletins";
const acceleratorsMb = [40_000, 40_000];
const minModelMb = 6_000;
const modelStepMb = 2_000;
const modelSizes = 6;
const adapterMb = 200;
export const accountName = "dispatch";
export const accountToken = "token-of-dispatch";

/** Simulated engine speeds; one step stands for eight tokens to shorten runs. */
export const benchSpeeds = {
  stepMs: 160,
  stepPerRequestMs: 12,
  prefillMsPerCharacter: 0.12,
  maxCachedPrefixes: 24,
  prefixCharacters: 512,
};

function enginesOf(shape: DeploymentShape): readonly Engine[] {
  return Array.from({ length: shape.engines }, (_, index) => ({
    kind: "engine",
    name: `e${index + 1}`,
    pool,
    address: `10.2.0.${index + 1}:80`,
    domain: shape.domains[index % shape.domains.length],
    acceleratorsMb,
    batchReserveMb: 0,
    role: "mixed",
    fenced: index % 4 !== 3,
    concurrency: 8,
    leaving: false,
  }));
}

function modelsOf(shape: DeploymentShape): readonly Model[] {
  return Array.from({ length: shape.models }, (_, index) => ({
    kind: "model",
    name: `m${index}`,
    pool,
    version: "1",
    sizeMb: minModelMb + modelStepMb * ((index * 7) % modelSizes),
    accounts: [accountName],
    priority: 5,
    minReplicas: 1,
  }));
}

function adaptersOf(shape: DeploymentShape): readonly Adapter[] {
  return Array.from({ length: shape.adapters }, (_, index) => ({
    kind: "adapter",
    name: `a${index}`,
    model: `m${index % shape.models}`,
    version: "1",
    sizeMb: adapterMb,
    accounts: [accountName],
  }));
}

function createDeployment(shape: DeploymentShape): Deployment {
  const engines = enginesOf(shape);
  const models = modelsOf(shape);
  const adapters = adaptersOf(shape);
  const serviceAddresses = Array.from(
    { length: shape.services },
    (_, index) => `10.3.0.${index + 1}:80`,
  );
  const resources: Resource[] = [
    {
      kind: "deployment",
      name: shape.name,
      attainmentWeight: shape.attainmentWeight,
      movesWeight: shape.movesWeight,
      weightStoreLoadsPerSecond: 2,
      weightStoreLoadsAtOnce: 8,
    },
    {
      kind: "account",
      name: accountName,
      tokenHash: createHash("sha256").update(accountToken).digest("hex"),
      share: 1,
      requestsPerSecond: 100_000,
      maxPriority: 9,
    },
    { kind: "pool", name: pool, loadsPerSecond: 2, loadsAtOnce: 8 },
    ...models,
    ...adapters,
    ...engines,
  ];
  return {
    name: shape.name,
    boxes: shape.boxes,
    baseRate: shape.baseRate,
    models,
    adapters,
    resources,
    targets: {
      engines,
      serviceAddresses,
      domains: shape.domains,
      batchOptions: benchSpeeds,
      weightMbPerSecond: 4_000,
    },
  };
}

export const deployments: readonly Deployment[] = shapes.map(createDeployment);

/** Total number of accelerators of a deployment's engines. */
export function acceleratorCount(deployment: Deployment): number {
  return deployment.targets.engines.reduce((sum, each) => sum + each.acceleratorsMb.length, 0);
}
