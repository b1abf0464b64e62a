/**
 * `npm run bench:capacity`: the unit costs behind docs/CAPACITY.md. Times are processor time of this
 * process, not wall-clock time.
 */
import { createEngineHttp } from "@linkfall/engine-http";
import { createHttpClient } from "@linkfall/http-client";
import { createJsonCaller } from "@linkfall/json-call";
import { createVirtualClock, seededRandom, systemClock } from "@linkfall/kernel";
import { computeLedgers } from "@linkfall/ledger";
import { createOnceMemory, createTicketIssuer, parseOnceId } from "@linkfall/once";
import { type PoolView, planPool } from "@linkfall/placement";
import { createLogHttp } from "@linkfall/platform-http";
import { streams } from "@linkfall/ports";
import { jsonResponse } from "@linkfall/refusals";
import { chooseTarget } from "@linkfall/routing";
import { DeploymentProcesses } from "@linkfall/stand-ins";
import { type Engine, type EngineReport, modelArtifact } from "@linkfall/types";
import { measureHeartbeats, measureRelayedReports, measureUsage } from "./capacity-peers.js";
import { measureState } from "./capacity-state.js";
import { createEngineResource, createModelResource } from "./fleet-resources.js";
import {
  heapUsedBytes,
  formatKilobytes,
  cpuMicrosecondsPerCall,
  printRow,
  printLine,
  formatMicroseconds,
} from "./measure.js";

const microsecondsPerMillisecond = 1_000;

// --- Targets and log over HTTP ---------------------------------------------------------------

function reportWith(engine: Engine, residents: number): EngineReport {
  return {
    engine: engine.name,
    engineIncarnation: `${engine.name}-1-0123456789ab`,
    sequence: 1,
    fence: 7,
    role: "mixed",
    residents: Array.from({ length: residents }, (_, index) => ({
      artifact: modelArtifact(`model-${index}`, "1"),
      accelerator: index % engine.acceleratorsMb.length,
      sizeMb: 20_000,
      state: "ready",
    })),
    running: 3,
    queued: 0,
    pendingTokens: 100,
    tokensPerSecond: 200,
    leaving: false,
    settledOrders: [],
  };
}

async function measureHttp(): Promise<void> {
  const deployment = new DeploymentProcesses();
  await deployment.startPlatform();
  const engine = await deployment.startEngine({ ...createEngineResource(0), name: "engine-0" });
  const clock = systemClock();
  const client = createHttpClient();
  const caller = createJsonCaller(clock, client, 5_000);
  const port = createEngineHttp(caller);
  const log = createLogHttp(caller, deployment.logAddress);
  await port.report(engine.address);
  printRow(
    "report polled over HTTP (client side)",
    "no residents",
    formatMicroseconds(await cpuMicrosecondsPerCall(2_000, () => port.report(engine.address))),
  );
  printRow(
    "empty log read over HTTP (client side)",
    "",
    formatMicroseconds(await cpuMicrosecondsPerCall(2_000, () => log.read(streams.state, 1, 500))),
  );
  client.close();
  await deployment.stop();
}

async function measureReports(residents: number): Promise<void> {
  const report = reportWith(createEngineResource(0), residents);
  const text = JSON.stringify(report);
  const time = await cpuMicrosecondsPerCall(5_000, () => JSON.parse(text));
  printRow(
    "report",
    `${residents} residents`,
    `${formatKilobytes(text.length)}, parsed in ${formatMicroseconds(time)}`,
  );
}

// --- Planning and target selection -----------------------------------------------------------

function createPoolView(engines: number, accelerators: number, models: number): PoolView {
  const list = Array.from({ length: engines }, (_, index) =>
    createEngineResource(index, accelerators),
  );
  return {
    engines: list.map((engine, index) => {
      const residents = Array.from({ length: 3 * accelerators }, (_, at) => ({
        artifact: modelArtifact(`model-${(index * 5 + at) % models}`, "1"),
        accelerator: at % accelerators,
        sizeMb: 20_000,
        state: "ready" as const,
      }));
      return {
        engine,
        accelerators: computeLedgers(engine, { ...reportWith(engine, 0), residents }, []),
        role: "mixed",
        roleChangePending: false,
        acceptsOrders: true,
        available: true,
        utilisation: 0.4 + (index % 5) / 10,
      };
    }),
    models: Array.from({ length: models }, (_, index) => {
      const model = createModelResource(index);
      if (model.kind !== "model") throw new Error("expected a model resource");
      return { model, adapters: [], demandShare: 1 / models, coolingDown: false };
    }),
    limits: { attainmentWeight: 1, movesWeight: 1, mayUnload: true, demandMoveBudget: 1 },
  };
}

async function measurePlan(engines: number, accelerators: number, models: number): Promise<void> {
  const view = createPoolView(engines, accelerators, models);
  const microseconds = await cpuMicrosecondsPerCall(10, () => planPool(view));
  const size = `${engines} engines of ${accelerators}, ${models} models`;
  printRow(
    "one placement plan",
    size,
    `${(microseconds / microsecondsPerMillisecond).toFixed(2)} ms`,
  );
}

async function measureTargetSelection(count: number): Promise<void> {
  const candidates = Array.from({ length: count }, (_, index) => ({
    target: `engine-${index}`,
    address: "",
    load: ((index * 7) % 5) / 10,
    waitMs: 0,
  }));
  const context = {
    policy: "affinity",
    random: seededRandom(1),
    turn: 0,
    affinitySlack: 0.25,
  } as const;
  const time = await cpuMicrosecondsPerCall(20_000, (index) =>
    chooseTarget(candidates, { ...context, affinityKey: `account/model/${index}` }),
  );
  printRow("one target selection by affinity", `${count} replicas`, formatMicroseconds(time));
}

async function measureOnceMemory(): Promise<void> {
  const clock = createVirtualClock();
  const ticketIssuer = createTicketIssuer(clock, "box-1@0123456789ab", "secret", 30_000);
  const memory = createOnceMemory(clock, ticketIssuer, {
    retentionMs: 300_000,
    maxEntries: 100_000,
    maxAnswerBytes: 0,
  });
  const { id: ticket } = ticketIssuer.issue("account");
  const count = 20_000;
  const before = heapUsedBytes();
  const time = await cpuMicrosecondsPerCall(count, (index) => {
    const id = parseOnceId(`${ticket}/${index}`);
    return id && memory.run(id, "account", async () => jsonResponse({}));
  });
  printRow(
    "one non-repeatable request recorded",
    `${count} requests`,
    `${formatKilobytes((heapUsedBytes() - before) / count)}, ${formatMicroseconds(time)}`,
  );
}

async function main(): Promise<void> {
  printLine("| operation | size | cost |\n| --- | --- | --- |");
  for (const scale of [0.05, 0.25, 1]) await measureState(scale);
  for (const [members, entries] of [
    [8, 8],
    [64, 32],
    [430, 16],
    [430, 32],
  ] as const) {
    await measureHeartbeats(members, entries);
  }
  await measureUsage(60);
  await measureRelayedReports(9, 24);
  await measureHttp();
  for (const residents of [8, 16, 32]) await measureReports(residents);
  for (const [engines, accelerators, models] of [
    [13, 2, 40],
    [30, 8, 40],
    [60, 8, 40],
    [60, 8, 80],
  ] as const) {
    await measurePlan(engines, accelerators, models);
  }
  for (const count of [8, 30, 60]) await measureTargetSelection(count);
  await measureOnceMemory();
}

await main();
