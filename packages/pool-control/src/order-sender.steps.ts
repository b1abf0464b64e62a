import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { type Audit, auditName } from "@linkfall/audit";
import { type Settings, settingsName } from "@linkfall/config";
import {
  clockName,
  createKernel,
  createVirtualClock,
  type Kernel,
  type VirtualClock,
} from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import { createMetrics, metricsName } from "@linkfall/metrics";
import { type EnginePort, enginePortName } from "@linkfall/ports";
import { type StateStore, stateStoreName } from "@linkfall/state-store";
import { type EngineReportRecord, type TargetWatch, targetWatchName } from "@linkfall/target-watch";
import { scenarioState } from "@linkfall/test-support";
import type { Engine, EngineReport, Order } from "@linkfall/types";
import { Left } from "purify-ts";
import type { Fences } from "./fences.js";
import { createOpenOrders } from "./open-orders.js";
import { createOrderSender, type OrderSender } from "./order-sender.js";
import type { PoolContext } from "./pool-context.js";
import { createServedElsewhereCheck } from "./served-elsewhere.js";

const resendAfterMs = 1_000;
/** Longer than the resend interval, so that only the scenario decides which engines count as lost. */
const silentLostMs = 5_000;
const artifact = "model:a@1";

interface SenderWorld {
  readonly clock: VirtualClock;
  readonly sender: OrderSender;
  readonly context: PoolContext;
  readonly sent: Order[];
  readonly reports: Map<string, EngineReportRecord>;
  readonly conditions: SendConditions;
  /** Engines of the orders that were logged as withheld. */
  readonly withheld: unknown[];
}

/** What an order depends on besides the reports of engines. */
interface SendConditions {
  isLeaseCurrent: boolean;
  isLeaseValid: boolean;
  readonly intents: Set<string>;
  /** Time until a connection to an engine is established. */
  connectMs: number;
}

const worldOf = (world: object) => scenarioState(world).get<SenderWorld>("sender");

const createEngine = (name: string, fenced: boolean) => ({ name, address: name, fenced }) as Engine;

/** A report in which the engine serves the model. */
function servingReport(now: number): EngineReportRecord {
  const resident = { artifact, accelerator: 0, sizeMb: 10, state: "ready" };
  const report = { residents: [resident] } as unknown as EngineReport;
  return { report, receivedAt: now, requestedAt: now } as EngineReportRecord;
}

/** An engine port that loses every order that it writes. */
function losingPort(clock: VirtualClock, sent: Order[], conditions: SendConditions): EnginePort {
  return {
    async order(_address: string, order: Order, isPermitted: () => boolean) {
      if (conditions.connectMs > 0)
        await new Promise<void>((resolve) => void clock.after(conditions.connectMs, resolve));
      if (!isPermitted())
        return Left({ kind: "target_unreachable", reason: "withheld", mayHaveArrived: false });
      sent.push(order);
      return Left({ kind: "target_unreachable", reason: "lost", mayHaveArrived: true });
    },
  } as unknown as EnginePort;
}

function provideServices(
  kernel: Kernel,
  clock: VirtualClock,
  { sent, conditions, withheld }: Pick<SenderWorld, "sent" | "conditions" | "withheld">,
): void {
  const settings = { targets: { order_repeat_ms: resendAfterMs, silent_lost_ms: silentLostMs } };
  kernel.provide(clockName, clock);
  kernel.provide(
    loggerName,
    recordingLogger((name, { engine }) => {
      if (name === "orderWithheld") withheld.push(engine);
    }),
  );
  kernel.provide(metricsName, createMetrics());
  kernel.provide(settingsName, settings as Settings);
  kernel.provide(auditName, { record: () => undefined } as unknown as Audit);
  const state = () => ({ intents: conditions.intents });
  kernel.provide(stateStoreName, { state } as unknown as StateStore);
  kernel.provide(targetWatchName, { isLeaving: () => false } as unknown as TargetWatch);
  kernel.provide(enginePortName, losingPort(clock, sent, conditions));
}

function createWorld(names: readonly string[], fenced = true): SenderWorld {
  const clock = createVirtualClock();
  const kernel = createKernel();
  const sent: Order[] = [];
  const withheld: unknown[] = [];
  const conditions: SendConditions = {
    isLeaseCurrent: true,
    isLeaseValid: true,
    intents: new Set(["o1"]),
    connectMs: 0,
  };
  provideServices(kernel, clock, { sent, conditions, withheld });
  const engines = names.map((name) => createEngine(name, fenced));
  const reports = new Map(names.map((name) => [name, servingReport(clock.now())]));
  const context = {
    lease: { pool: "p", epoch: 1 },
    openOrders: createOpenOrders(),
    engines: () => engines,
    engineNamed: (name: string) => engines.find((engine) => engine.name === name),
    reportOf: (name: string) => reports.get(name),
    isLeaseCurrent: () => conditions.isLeaseCurrent,
    isLeaseValid: () => conditions.isLeaseCurrent && conditions.isLeaseValid,
  } as unknown as PoolContext;
  const fences = { isRaisedOn: () => true } as unknown as Fences;
  const servedElsewhere = createServedElsewhereCheck(kernel, context);
  const sender = createOrderSender(kernel, context, fences, servedElsewhere);
  return { clock, sender, context, sent, reports, conditions, withheld };
}

async function resend({ clock, sender }: SenderWorld): Promise<void> {
  await clock.runUntil(clock.now() + resendAfterMs);
  await sender.resendDue();
}

Given("engines {string} that serve the model", function (this: object, names: string) {
  scenarioState(this).set("sender", createWorld(names.split(" ")));
});

Given(
  "engines {string} without fences that serve the model",
  function (this: object, names: string) {
    scenarioState(this).set("sender", createWorld(names.split(" "), false));
  },
);

const issueUnload = ({ sender, clock, context }: SenderWorld, engine: string): Promise<void> => {
  const common = { id: "o1", engine, engineIncarnation: "i", epoch: 1, cause: "demand" };
  const order: Order = { ...common, kind: "unload", artifact, accelerator: 0, sizeMb: 10 };
  context.openOrders.add(order, clock.now());
  return sender.issue(order);
};

const events: Readonly<Record<string, (world: SenderWorld) => void>> = {
  "the lease expires": ({ conditions }) => void (conditions.isLeaseValid = false),
  "another box holds the lease": ({ conditions }) => void (conditions.isLeaseCurrent = false),
  "its intent is void": ({ conditions }) => conditions.intents.clear(),
  'engine "e2" is not heard any more': ({ reports }) => void reports.delete("e2"),
};

When(
  /^an unload of the model on "([^"]*)" waits (\d+) ms for its connection(?:, and after (\d+) ms (.+))?$/,
  async function (
    this: object,
    engine: string,
    connectMs: string,
    afterMs: string | null,
    event: string | null,
  ) {
    const world = worldOf(this);
    const { clock, conditions } = world;
    conditions.connectMs = Number(connectMs);
    const issued = issueUnload(world, engine);
    await clock.runUntil(clock.now() + Number(afterMs ?? 0));
    if (event) events[event](world);
    await clock.runUntil(clock.now() + conditions.connectMs);
    await issued;
  },
);

Then("the order on {string} is logged as withheld", function (this: object, engine: string) {
  assert.deepEqual(worldOf(this).withheld, [engine]);
});

Given(
  "an unload of the model on {string} that is lost on its way",
  async function (this: object, engine: string) {
    await issueUnload(worldOf(this), engine);
  },
);

When(
  "engine {string} goes silent and the order is due again",
  async function (this: object, name: string) {
    const world = worldOf(this);
    world.reports.delete(name);
    await resend(world);
  },
);

When(
  "engine {string} reports again and the order is due again",
  async function (this: object, name: string) {
    const world = worldOf(this);
    world.reports.set(name, servingReport(world.clock.now()));
    await resend(world);
  },
);

Then(/^(\d+) orders? (?:was|were) sent$/, function (this: object, count: string) {
  assert.equal(worldOf(this).sent.length, Number(count));
});
