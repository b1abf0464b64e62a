/** What the steps of a request share: services of its box, and the limits of its way. */
import type { CrashBlame } from "@linkfall/crash-blame";
import type { Random } from "@linkfall/kernel";
import type { ModelDemandMeter, RequestedWeights } from "@linkfall/model-demand";
import type { RetryBudget } from "@linkfall/retry-budget";
import type { Milliseconds, Route } from "@linkfall/types";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { FinalAttempts } from "./crash-check.js";
import type { TargetProbe } from "./lost-targets.js";
import type { SendContext } from "./send-to-target.js";
import type { ChangeWaiter } from "./wait-for-change.js";

/** Limits of the whole way. */
export interface ForwardLimits {
  /** With less time left than this a send cannot be answered. */
  readonly minTimeLeftMs: Milliseconds;
  /** Most sends of one request, whatever they came to. */
  readonly maxSends: number;
  /** A replica that is on its way is waited for where it answers this much sooner. */
  readonly minReplicaGainMs: Milliseconds;
  /** A request is refused where its answer would begin after this share of the time left. */
  readonly maxQueueShare: number;
  /** A stream is refused where it would begin later than so many objectives from now. */
  readonly maxQueueObjectives: number;
  /** Pause before targets that failed are tried again. */
  readonly retryPauseMs: Milliseconds;
  /** When a refused caller may come back, where nothing better is known. */
  readonly defaultRetryAfterMs: Milliseconds;
}

export interface ForwardContext extends SendContext {
  readonly demand: ModelDemandMeter;
  readonly random: Random;
  readonly retryBudget: RetryBudget;
  readonly blame: CrashBlame;
  readonly targetProbe: TargetProbe;
  readonly finalAttempts: FinalAttempts;
  readonly changeWaiter: ChangeWaiter;
  readonly forwardLimits: ForwardLimits;
  /** This box's failure domain. */
  readonly domain: string;
  /** Tells the box that gives orders at once of a wait for weights that it may not know of. */
  announceDemand(): void;
  /** Whether a request of the route that is sent now can still end before a planned stop of the box. */
  acceptsRoute(route: Route): boolean;
  /** Boxes that share the retry budget. */
  boxCount(): number;
  /** Time until weights are expected to be there; undefined when nothing is known. */
  expectedWeightsMs(wanted: RequestedWeights): Milliseconds | undefined;
}

/** Time in which a send may still bring the caller its answer, or the next part of it. */
export function timeLeftMs(context: ForwardContext, request: ForwardedRequest): Milliseconds {
  const until = request.sink.headersSent() ? request.deadlineAt : request.responseStartDueAt;
  return until - context.clock.now();
}
