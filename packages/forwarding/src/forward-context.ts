/** Services and limits shared by all steps of forwarding a request. */
import type { CrashBlame } from "@linkfall/crash-blame";
import type { Random } from "@linkfall/kernel";
import type { ModelDemandMeter, RequestedWeights } from "@linkfall/model-demand";
import type { RequestDispatch } from "@linkfall/request-dispatch";
import type { RetryBudget } from "@linkfall/retry-budget";
import type { TargetReach } from "@linkfall/target-reach";
import type { LoadData } from "@linkfall/target-choice";
import type { Milliseconds, Route } from "@linkfall/types";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { FinalAttempts } from "./crash-check.js";
import type { TargetProbe } from "./target-probe.js";
import type { SendContext } from "./send-to-target.js";
import type { ChangeWaiter } from "./change-waiter.js";
import type { RestQueue } from "./resting-targets.js";

/** Limits that apply to a request across all of its attempts. */
export interface ForwardLimits {
  /** Minimum time left for an attempt to be worthwhile. */
  readonly minTimeLeftMs: Milliseconds;
  /** Maximum number of sends of one request, whatever their results. */
  readonly maxSends: number;
  /** A replica being loaded is waited for if it is expected to respond sooner by at least this much. */
  readonly minReplicaGainMs: Milliseconds;
  /** A request is refused if its response would start after this fraction of the time left. */
  readonly maxQueueShare: number;
  /** A stream is refused if it would start later than this multiple of its latency objective. */
  readonly maxQueueObjectives: number;
  /** Pause before all tried targets become candidates again. */
  readonly retryPauseMs: Milliseconds;
  /** Retry-After of a refusal if no better estimate is available. */
  readonly defaultRetryAfterMs: Milliseconds;
}

/** What decides whether a request can complete before a planned shutdown. */
export interface AcceptableRequest {
  readonly route: Pick<Route, "objectiveMs">;
  /** Clock reading by which the response has to be complete. */
  readonly deadlineAt: Milliseconds;
}

export interface ForwardContext extends SendContext {
  readonly demand: ModelDemandMeter;
  readonly random: Random;
  readonly retryBudget: RetryBudget;
  readonly blame: CrashBlame;
  readonly targetProbe: TargetProbe;
  readonly targetReach: TargetReach;
  readonly finalAttempts: FinalAttempts;
  readonly changeWaiter: ChangeWaiter;
  readonly restQueue: RestQueue;
  readonly dispatch: Pick<RequestDispatch, "isActive" | "acquire" | "firstBytes" | "end">;
  readonly forwardLimits: ForwardLimits;
  /** Incarnation of this box. */
  readonly boxIncarnation: string;
  /** Age and capacities by which targets are sampled if this box chooses alone; absent if they are not. */
  sampledLoadData?(): LoadData;
  /** Failure domain of this box. */
  readonly domain: string;
  /** Reports demand for weights to the scheduler immediately instead of with the next heartbeat. */
  announceDemand(): void;
  /** Whether a request that is sent now can complete before a planned shutdown of the box. */
  acceptsRequest(request: AcceptableRequest): boolean;
  /** Number of boxes that share the retry budget. */
  boxCount(): number;
  /** Time until the weights are expected to be loaded; undefined if no load is known. */
  expectedWeightsMs(wanted: RequestedWeights): Milliseconds | undefined;
  /** Time up to which the lease holder has planned loads for the demand of this box. */
  loadsDecidedAt(): Milliseconds;
}

/** Time left until the response has to start, or until the deadline once it has started. */
export function timeLeftMs(context: ForwardContext, request: ForwardedRequest): Milliseconds {
  const dueAt = request.sink.headersSent() ? request.deadlineAt : request.responseStartDueAt;
  return dueAt - context.clock.now();
}
