/** Resources and reports for tests; `changes` overrides the default fields. */
import type { Account, Adapter, Engine, EngineReport, Model, Pool } from "@linkfall/types";

const hashLength = 64;

export function account(name: string, changes: Partial<Account> = {}): Account {
  return {
    kind: "account",
    name,
    tokenHash: Buffer.from(name).toString("hex").padEnd(hashLength, "0").slice(0, hashLength),
    share: 1,
    requestsPerSecond: 100,
    maxPriority: 5,
    ...changes,
  };
}

export function pool(name = "p"): Pool {
  return { kind: "pool", name, loadsPerSecond: 2, loadsAtOnce: 8 };
}

export function model(name: string, changes: Partial<Model> = {}): Model {
  return {
    kind: "model",
    name,
    pool: "p",
    version: "1",
    sizeMb: 10,
    accounts: ["one"],
    priority: 5,
    minReplicas: 1,
    ...changes,
  };
}

export function adapter(name: string, model: string, changes: Partial<Adapter> = {}): Adapter {
  return { kind: "adapter", name, model, version: "1", sizeMb: 1, accounts: ["one"], ...changes };
}

export function engine(name: string, changes: Partial<Engine> = {}): Engine {
  return {
    kind: "engine",
    name,
    pool: "p",
    address: "10.0.0.1:80",
    domain: "north",
    acceleratorsMb: [100],
    batchReserveMb: 20,
    role: "mixed",
    fenced: true,
    concurrency: 4,
    leaving: false,
    ...changes,
  };
}

export function report(engineName: string, changes: Partial<EngineReport> = {}): EngineReport {
  return {
    engine: engineName,
    engineIncarnation: `${engineName}-1`,
    sequence: 1,
    fence: 0,
    role: "mixed",
    residents: [],
    running: 0,
    queued: 0,
    pendingTokens: 0,
    tokensPerSecond: 0,
    leaving: false,
    settledOrders: [],
    ...changes,
  };
}
