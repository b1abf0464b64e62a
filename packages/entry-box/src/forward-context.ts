/** Assembles the dependencies of request forwarding. */
import { peersName } from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { fleetName } from "@linkfall/fleet";
import {
  type ChangeWaiter,
  createChangeWaiter,
  createForwardMetrics,
  createLastTries,
  createLostTargets,
  createStreamPace,
  createWorkCostMeter,
  type ForwardContext,
} from "@linkfall/forwarding";
import { metricsName } from "@linkfall/metrics";
import { orderLeaseName } from "@linkfall/order-lease";
import { isListening } from "@linkfall/raw-exchange";
import { createRetryBudget } from "@linkfall/retry-budget";
import type { Milliseconds } from "@linkfall/types";
import { orderGiverName } from "@linkfall/weight-orders";
import type { BoxRuntime } from "./box-runtime.js";
import type { HeartbeatReceiver } from "./heartbeat-receiver.js";
import { targetLimitsName } from "./provide-limits.js";
import { countBoxesWithCallers } from "./boxes-with-callers.js";

/** Requests that start waiting within this time share one announcement; short compared to a load. */
const announceDelayMs: Milliseconds = 10;
/** A stopped target refuses the connection within milliseconds; an unreachable one does not answer. */
const listenProbeTimeoutMs: Milliseconds = 100;
const microsecondsPerMillisecond = 1000;

/** Announces demand for models to the lease holder, batching concurrent requests. */
function createDemandAnnouncer({ kernel, ports }: BoxRuntime): () => void {
  const { clock } = ports;
  let scheduled = false;
  const announce = () => {
    scheduled = false;
    const lease = kernel.find(orderLeaseName);
    if (lease.epoch() !== undefined) return kernel.find(orderGiverName).hurry();
    const holder = lease.known()?.holder;
    kernel.find(peersName).sendHeartbeats((member) => member.status?.incarnation === holder);
  };
  return () => {
    if (scheduled) return;
    scheduled = true;
    clock.after(announceDelayMs, announce);
  };
}

/** Creates a waiter that wakes waiting requests when the state of a target changes. */
export function createFleetWaiter({ kernel, ports }: BoxRuntime): ChangeWaiter {
  const waiter = createChangeWaiter(ports.clock);
  kernel.find(fleetName).onChange(waiter.wake);
  return waiter;
}

/** Creates the context in which this box forwards requests. */
export function createForwardContext(
  runtime: BoxRuntime,
  waiter: ChangeWaiter,
  receiver: HeartbeatReceiver,
): ForwardContext {
  const { kernel, settings, ports, demand } = runtime;
  const { forwarding, retries } = settings;
  const { clock, random, logger } = ports;
  return {
    clock,
    random,
    logger,
    metrics: createForwardMetrics(kernel.find(metricsName)),
    blame: kernel.find(crashBlameName),
    lastTries: createLastTries(),
    lostTargets: createLostTargets(clock, (address) =>
      isListening(clock, address, listenProbeTimeoutMs),
    ),
    targetLimits: kernel.find(targetLimitsName),
    codec: ports.requests,
    fleet: kernel.find(fleetName),
    demand,
    waiter,
    domain: settings.box.domain,
    tellOfWait: createDemandAnnouncer(runtime),
    takes: runtime.shutdown.accepts,
    boxes: () => countBoxesWithCallers(runtime),
    expectedWeightsMs: receiver.expectedWeightsMs,
    budget: createRetryBudget(clock, {
      ratio: retries.ratio,
      slack: retries.slack,
      windowMs: retries.window_ms,
    }),
    pace: createStreamPace(clock),
    costs: createWorkCostMeter({
      perTokenMs: forwarding.first_token_cost_us / microsecondsPerMillisecond,
      perRequestMs: forwarding.first_request_cost_ms,
      perAnswerMs: forwarding.first_answer_cost_ms,
      crossDomainMs: forwarding.cross_domain_ms,
    }),
    limits: {
      connectMs: forwarding.connect_ms,
      leastSilentMs: forwarding.least_silent_ms,
      silentObjectives: forwarding.silent_objectives,
      silentExpected: forwarding.silent_expected,
      deadlineMarginMs: forwarding.deadline_margin_ms,
    },
    forwardLimits: {
      leastTimeMs: forwarding.least_time_ms,
      mostSends: forwarding.most_sends,
      againMs: forwarding.again_ms,
      replicaGainMs: forwarding.replica_gain_ms,
      hopelessShare: forwarding.hopeless_share,
      queueObjectives: forwarding.queue_objectives,
      comeBackMs: forwarding.come_back_ms,
    },
  };
}
