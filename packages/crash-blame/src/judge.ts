/** Whether the ends of targets are a request's doing: a pure function of what boxes have told. */
import type { Fingerprint, Milliseconds } from "@linkfall/types";
import type { TargetEnd } from "./target-crash.js";

/** What a box makes of a request that comes. */
export type Verdict =
  /** Nothing speaks against it. */
  | "clear"
  /** A target has ended under it; it may be the cause or have been there by chance. */
  | "suspect"
  /** Two targets or more have ended under it, and other boxes may still have something to say of the last. */
  | "unsettled"
  /** Two targets have ended under it, which leaves other explanations: one more send, without a repeat. */
  | "last_try"
  /** It ends what runs it. */
  | "guilty";

export interface Evidence {
  readonly request: Fingerprint;
  /** Ends of targets that no request that is held back accounts for. */
  readonly ends: readonly TargetEnd[];
  /** Targets that its service has. */
  readonly targets: number;
  readonly now: Milliseconds;
}

/** Targets that end within this time of each other may have one cause, such as a loss of power. */
const togetherMs: Milliseconds = 300;
/** Copies of a request that callers sent at once end with their targets in one instant; its own repeats end them later. */
const copiesMs: Milliseconds = 10;
/** Where this share of a service's targets ends together with one, no request is to blame for that one. */
const manyShare = 0.3;
/** Targets that end without a request, so shortly before or after those that end with it, make it one suspect of several. */
const unrelatedMs: Milliseconds = 10_000;
/** In which other boxes have told of what they lost at the same moment. */
export const settlingMs: Milliseconds = 500;
/** Ends that are enough where they are the only ones, and nothing else was there each time. */
const fewestEnds = 2;
/** Ends that are enough in any case. */
const enoughEnds = 3;

const within = (left: TargetEnd, right: TargetEnd, ms: Milliseconds): boolean =>
  Math.abs(left.at - right.at) <= ms;

/** Whether so many targets ended together that the request is a victim like the others. */
function isOneOfMany({ request, ends, targets }: Evidence, end: TargetEnd): boolean {
  const together = ends.filter((other) => {
    const isCopy = other.requests.has(request);
    return other !== end && within(end, other, isCopy ? copiesMs : togetherMs);
  });
  return together.length >= Math.max(1, targets * manyShare);
}

/** Whether another request was at work on each of the targets. */
function isShared(request: Fingerprint, ends: readonly TargetEnd[]): boolean {
  const [first, ...rest] = ends;
  const companions = [...first.requests].filter((other) => other !== request);
  return companions.some((other) => rest.every((end) => end.requests.has(other)));
}

/** Whether two ends leave no other explanation. */
function isClear(
  request: Fingerprint,
  ends: readonly TargetEnd[],
  others: readonly TargetEnd[],
): boolean {
  if (isShared(request, ends)) return false;
  return !others.some((other) => ends.some((end) => within(end, other, unrelatedMs)));
}

/**
 * Judges a request. A target that ends takes with it whatever it runs, so that one end makes suspects and no culprit;
 * several make one, unless many targets end together, when innocent requests meet one end after another.
 */
export function judge(evidence: Evidence): Verdict {
  const { request, ends, now } = evidence;
  const own = ends.filter((end) => end.requests.has(request));
  if (own.length === 0) return "clear";
  const others = ends.filter((end) => !end.requests.has(request));
  const telling = own.filter((end) => !isOneOfMany(evidence, end));
  if (telling.length < fewestEnds) return "suspect";
  if (telling.some((end) => now - end.at < settlingMs)) return "unsettled";
  if (telling.length >= enoughEnds) return "guilty";
  return isClear(request, telling, others) ? "guilty" : "last_try";
}
