/** Assembles the dependencies of request forwarding. */
import { peersName } from "@linkfall/box-peers";
import { crashBlameName } from "@linkfall/crash-blame";
import { engineSpeedsName } from "@linkfall/engine-speed";
import { fleetName } from "@linkfall/fleet";
import {
  type ChangeWaiter,
  createChangeWaiter,
  createForwardMetrics,
  createFinalAttempts,
  createRestQueue,
  createTargetProbe,
  createStreamGapMeter,
  createWorkCostMeter,
  type ForwardContext,
} from "@linkfall/forwarding";
import { metricsName } from "@linkfall/metrics";
import { orderLeaseName } from "@linkfall/order-lease";
import { isListening } from "@linkfall/raw-exchange";
import { requestDispatchName } from "@linkfall/request-dispatch";
import { createRetryBudget } from "@linkfall/retry-budget";
import { targetReachName } from "@linkfall/target-reach";
import { softwareVersionsName } from "@linkfall/software-versions";
import { streamVersionsName } from "@linkfall/stream-versions";
import type { Milliseconds } from "@linkfall/types";
import { orderDispatcherName } from "@linkfall/weight-orders";
import type { BoxRuntime } from "./box-runtime.js";
import type { HeartbeatReceiver } from "./heartbeat-receiver.js";
import { listenProbeTimeoutMs } from "./listen-probe.js";
import { fragileTargetsName } from "./provide-fragile-targets.js";
import { createSampledLoadData } from "./provide-request-dispatch.js";
import { targetLimitsName } from "./provide-limits.js";
import { countBoxesWithCallers } from "./boxes-with-callers.js";
import { createOwnTargetBodies } from "./provide-held-bytes.js";
import { createPaths } from "./provide-relay.js";

/** Requests that start waiting within this time share one announcement; short compared to a load. */
const announceDelayMs: Milliseconds = 10;
const microsecondsPerMillisecond = 1000;

/** Announces demand for models to the lease holder, batching concurrent requests. */
function createDemandAnnouncer({ kernel, ports }: BoxRuntime): () => void {
  const { clock } = ports;
  let scheduled = false;
  const announce = () => {
    scheduled = false;
    const lease = kernel.find(orderLeaseName);
    if (lease.epoch() !== undefined) return kernel.find(orderDispatcherName).triggerCycle();
    const holder = lease.observedLease()?.holder;
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
  kernel.find(fleetName).onChange(waiter.wakeAll);
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
    finalAttempts: createFinalAttempts(),
    targetProbe: createTargetProbe(clock, (address) =>
      isListening(clock, address, listenProbeTimeoutMs, ports.connectToTarget),
    ),
    targetReach: kernel.find(targetReachName),
    targetLimits: kernel.find(targetLimitsName),
    fragileTargets: kernel.find(fragileTargetsName),
    targetBodies: createOwnTargetBodies(runtime),
    softwareVersions: kernel.find(softwareVersionsName),
    streamVersions: kernel.find(streamVersionsName),
    dispatch: kernel.find(requestDispatchName),
    sampledLoadData: settings.dispatch.fallback_sampling
      ? createSampledLoadData(runtime)
      : undefined,
    boxIncarnation: runtime.incarnation,
    heldUpMs: ports.heldUpMs ?? (() => 0),
    codec: ports.requests,
    paths: createPaths(runtime),
    fleet: kernel.find(fleetName),
    demand,
    changeWaiter: waiter,
    restQueue: createRestQueue(),
    domain: settings.box.domain,
    announceDemand: createDemandAnnouncer(runtime),
    acceptsRequest: runtime.shutdown.accepts,
    boxCount: () => countBoxesWithCallers(runtime),
    expectedWeightsMs: receiver.expectedWeightsMs,
    loadsDecidedAt: receiver.loadsDecidedAt,
    retryBudget: createRetryBudget(clock, {
      ratio: retries.ratio,
      baseRetries: retries.slack,
      windowMs: retries.window_ms,
    }),
    streamGaps: createStreamGapMeter(clock),
    workCosts: createWorkCostMeter({
      perTokenMs: forwarding.first_token_cost_us / microsecondsPerMillisecond,
      perRequestMs: forwarding.first_request_cost_ms,
      perResponseMs: forwarding.first_answer_cost_ms,
      crossDomainMs: forwarding.cross_domain_ms,
    }),
    engineSpeeds: settings.targets.learn_engine_speeds ? kernel.find(engineSpeedsName) : undefined,
    sendLimits: {
      connectTimeoutMs: forwarding.connect_ms,
      minIdleTimeoutMs: forwarding.least_silent_ms,
      idleTimeoutObjectives: forwarding.silent_objectives,
      idleTimeoutExpectedFactor: forwarding.silent_expected,
      deadlineMarginMs: forwarding.deadline_margin_ms,
    },
    forwardLimits: {
      minTimeLeftMs: forwarding.least_time_ms,
      maxSends: forwarding.most_sends,
      retryPauseMs: forwarding.again_ms,
      minReplicaGainMs: forwarding.replica_gain_ms,
      maxQueueShare: forwarding.hopeless_share,
      maxQueueObjectives: forwarding.queue_objectives,
      defaultRetryAfterMs: forwarding.come_back_ms,
    },
  };
}
