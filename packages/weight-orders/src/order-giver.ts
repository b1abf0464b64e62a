/** Gives the orders of the plan while this box holds the right to, and settles each before the next. */
import {
  type CancelTimer,
  clockName,
  type Kernel,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { Epoch, Milliseconds } from "@linkfall/types";
import { advanceMoves } from "./advance-moves.js";
import { askDueEngines } from "./ask-engines.js";
import { endMove } from "./give-order.js";
import { createGiverState, type GiverContext, type OrderGiverInput } from "./giver-context.js";
import { moveLeftMs } from "./move-time.js";
import { planService } from "./plan-service.js";

export interface OrderGiver extends Service {
  /** Models that are about to be dropped, by engine. */
  withheld(): ReadonlyMap<string, readonly string[]>;
  /** When models are expected to be there, in milliseconds from now, by `service model`. */
  expected(): Readonly<Record<string, Milliseconds>>;
  /** Looks at demand now and not at the next tick. */
  hurry(): void;
}

export const orderGiverName = serviceName<OrderGiver>("order-giver");

const tickMs: Milliseconds = 50;
/** Looks take at most about this share of the time, however large the deployment is. */
const mostLookShare = 0.5;
/** A box that may not give orders looks less often whether it may. */
const idleTickMs: Milliseconds = 200;
/** The epoch of the first claim of all: nobody gave orders before it. */
const firstEpoch: Epoch = 1;

/** Begins a tenure: what another holder may have begun is counted as begun. */
function takeOver({ state, clock, configuration }: GiverContext, epoch: Epoch): void {
  state.epoch = epoch;
  state.tenureSince = clock.now();
  state.work.clear();
  state.asked.clear();
  if (epoch === firstEpoch) return;
  for (const service of configuration()?.services.values() ?? []) {
    const perSecond = service.engine?.storeLoadsPerSecond;
    if (perSecond !== undefined) state.loads.assumeFull(perSecond, clock.now());
  }
}

function endTenure({ state }: GiverContext): void {
  state.epoch = undefined;
  state.work.clear();
}

/** One look at everything. */
function look(context: GiverContext, epoch: Epoch): void {
  if (epoch !== context.state.epoch) takeOver(context, epoch);
  askDueEngines(context);
  advanceMoves(context, epoch);
  for (const service of context.configuration()?.services.values() ?? []) {
    if (service.engine) planService(context, service.name, service.engine, epoch);
  }
}

/** Time until the first copy of each model on its way is there. */
function expectedTimes(context: GiverContext): Readonly<Record<string, Milliseconds>> {
  const expected: Record<string, Milliseconds> = {};
  for (const [id, work] of context.state.work) {
    const key = `${context.fleet.find(id)?.listed.service ?? ""} ${work.move.load}`;
    const leftMs = Math.round(moveLeftMs(context, work));
    expected[key] = Math.min(expected[key] ?? Infinity, leftMs);
  }
  return expected;
}

export function createOrderGiver(kernel: Kernel, input: OrderGiverInput): OrderGiver {
  const clock = kernel.find(clockName);
  const context: GiverContext = {
    ...input,
    clock,
    logger: kernel.find(loggerName),
    metrics: kernel.find(metricsName),
    state: createGiverState(),
  };
  const { state } = context;
  input.fleet.onIncarnationEnded((id) => {
    endMove(context, id, "engine gone or started again");
    state.adapterOrders.delete(id);
    state.asked.delete(id);
  });
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  /** The next look comes no sooner. */
  let notBefore = -Infinity;
  let hurrying = false;

  const lookNow = (epoch: Epoch) => {
    const before = clock.now();
    look(context, epoch);
    const tookMs = clock.now() - before;
    context.metrics.observe(
      "linkfall_order_look_ms",
      "Time in which the box that gives orders does nothing else.",
      Math.round(tookMs),
    );
    notBefore = before + tookMs / mostLookShare;
  };
  const tick = () => {
    if (stopped) return;
    hurrying = false;
    const epoch = input.lease.epoch();
    if (epoch !== undefined) lookNow(epoch);
    else if (state.epoch !== undefined) endTenure(context);
    const waitMs = epoch === undefined ? idleTickMs : tickMs;
    cancel = clock.after(Math.max(waitMs, notBefore - clock.now()), tick);
  };

  return {
    withheld: () => new Map([...state.work].map(([id, work]) => [id, work.move.victims] as const)),
    expected: () => expectedTimes(context),
    hurry() {
      if (hurrying || stopped) return;
      cancel();
      const waitMs = notBefore - clock.now();
      if (waitMs <= 0) return tick();
      hurrying = true;
      cancel = clock.after(waitMs, tick);
    },
    async start() {
      tick();
    },
    async stop() {
      stopped = true;
      cancel();
    },
  };
}
