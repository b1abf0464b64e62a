/** Desired state of the demo: seven models on four engines, an adapter and an HTTP service. */
import type { EngineSpec } from "@linkfall/stand-ins";
import { hashToken } from "@linkfall/stand-ins";
import type { Engine, Resource } from "@linkfall/types";

/** Tokens of the demo's client accounts. */
export const accountTokens = {
  dispatch: "token-of-dispatch",
  tunnels: "token-of-tunnels",
} as const;

const pool = "bulletins";
const domains = ["north", "south", "east"];
/** Names and sizes in MB. */
const models: readonly (readonly [string, number])[] = [
  ["bulletin-long", 16_000],
  ["bulletin-short", 9_000],
  ["notice", 7_000],
  ["station-log", 12_000],
  ["translate", 8_000],
  ["summary", 6_000],
];

/** Engines of the demo; the last one does not check fencing tokens. */
export const demoEngines: readonly EngineSpec[] = [0, 1, 2, 3].map((index) => ({
  name: `engine-${index + 1}`,
  pool,
  domain: domains[index % domains.length],
  acceleratorsMb: [24_000],
  batchReserveMb: 4_000,
  role: "mixed",
  fenced: index < 3,
  concurrency: 8,
  leaving: false,
}));

function createAccount(name: keyof typeof accountTokens): Resource {
  return {
    kind: "account",
    name,
    tokenHash: hashToken(accountTokens[name]),
    share: 1,
    requestsPerSecond: 50,
    maxPriority: 7,
  };
}

/** Creates all resources of the demo. */
export function demoResources(
  engines: readonly Engine[],
  serviceAddresses: readonly string[],
): readonly Resource[] {
  const accounts = ["dispatch"];
  return [
    {
      kind: "deployment",
      name: "demo",
      attainmentWeight: 2,
      movesWeight: 1,
      weightStoreLoadsPerSecond: 2,
      weightStoreLoadsAtOnce: 8,
    },
    createAccount("dispatch"),
    createAccount("tunnels"),
    { kind: "pool", name: pool, loadsPerSecond: 2, loadsAtOnce: 8 },
    ...models.map(([name, sizeMb]): Resource => ({
      kind: "model",
      name,
      pool,
      version: "1",
      sizeMb,
      accounts,
      priority: 5,
      minReplicas: 1,
    })),
    {
      kind: "model",
      name: "tunnel-report",
      pool,
      version: "1",
      sizeMb: 8_000,
      accounts: ["tunnels"],
      priority: 5,
      minReplicas: 1,
    },
    {
      kind: "adapter",
      name: "notice-german",
      model: "notice",
      version: "1",
      sizeMb: 300,
      accounts,
    },
    ...engines,
    {
      kind: "service",
      name: "feed",
      targets: serviceAddresses.map((address, index) => ({ address, domain: domains[index] })),
      accounts: ["dispatch", "tunnels"],
      notRepeatablePaths: ["/alerts"],
    },
  ];
}
