/** How long requests of plain services will wait, and whether that lets them end in time. */
import type { Milliseconds } from "@linkfall/types";
import { type FairQueue, lateRank, type WaitingRequest } from "./fair-queue.js";
import type { ServiceTargets } from "./service-capacity.js";
import type { DispatchRequest } from "./types.js";
import { accountRate, classRate, reservedRate } from "./shares.js";

export interface WaitVerdict {
  readonly isTooLong: boolean;
  /** Time by which the wait exceeds the one allowed. */
  readonly excessMs: Milliseconds;
  /** Time between two grants to requests of this class. */
  readonly intervalMs: Milliseconds;
}

/** Part of the time left within which a response must be expected; the rest covers the way to the caller. */
const timeLeftShare = 0.9;
/**
 * Work for which the objective leaves room when a request is admitted, in mean durations: 95 % of exponentially distributed
 * work ends within three. At twice the capacity, two let 0.82 of the capacity end within the objective, three 0.87.
 */
const admittedWorks = 3;
/** A wait beyond that for the targets' own queues which costs a caller little, even if the objective leaves no room for variation. */
const shortWaitShare = 1 / 8;
/**
 * The first request of a class waits for the class's reserved turn, one of twenty grants. Otherwise a class whose work was
 * learned as too long would be rejected for good, as it is observed only when it is served.
 */
const firstWaitShare = 1 / 2;

/**
 * Whether a request, such as a retried one, can no longer meet its objective. A kind whose work takes longer than its
 * objective allows is not late for this reason, or the less urgent kinds would always come first.
 */
export function isLateOnArrival(
  { objectiveMs, objectiveLeftMs }: DispatchRequest,
  workMs: Milliseconds,
): boolean {
  return objectiveLeftMs < Math.min(workMs, objectiveMs / 2);
}

/** Time of the whole service until the requests in the targets' own queues have begun. */
export function queuedMs(targets: ServiceTargets, kind: string): Milliseconds {
  const { queued, throughput } = targets.capacity(kind);
  return queued / throughput;
}

/** Work of an entry's own account before it, itself included. */
interface WorkAhead {
  readonly accountMs: Milliseconds;
  /** Requests of its class. */
  readonly classCount: number;
}

/** Expected wait behind the work of the same account, with the requests that will arrive. */
export function waitAtRate(
  queue: FairQueue,
  { account, requestClass }: WaitingRequest,
  { accountMs, classCount }: WorkAhead,
  now: Milliseconds,
): Milliseconds {
  const rate = accountRate(queue.accounts(), account, now);
  return Math.min(
    accountMs / classRate(account, requestClass, rate, now),
    (classCount * queue.meanCost()) / reservedRate(requestClass, rate),
  );
}

/** Judges a request on arrival, with all that waits and is expected to arrive before it. */
export function judgeArrival(
  queue: FairQueue,
  targets: ServiceTargets,
  entry: WaitingRequest,
  ordered: readonly WaitingRequest[],
  now: Milliseconds,
): WaitVerdict {
  const { request, account, requestClass } = entry;
  const { workMs } = targets.capacity(request.kind);
  const baseMs = queuedMs(targets, request.kind);
  let aheadMs = 0;
  let accountMs = 0;
  let classCount = 0;
  for (const other of ordered) {
    aheadMs += other.cost;
    if (other.account === account) accountMs += other.cost;
    if (other.requestClass === requestClass) classCount += 1;
    if (other === entry) break;
  }
  const waitMs =
    baseMs + Math.max(aheadMs, waitAtRate(queue, entry, { accountMs, classCount }, now));
  const shortMs = request.objectiveMs * (classCount === 1 ? firstWaitShare : shortWaitShare);
  const allowedMs = allowedWaitMs(entry, workMs, baseMs + shortMs, now);
  const rate = accountRate(queue.accounts(), account, now);
  const share = Math.max(
    classRate(account, requestClass, rate, now),
    reservedRate(requestClass, rate),
  );
  const intervalMs = entry.cost / share;
  return { isTooLong: waitMs > allowedMs, excessMs: Math.max(0, waitMs - allowedMs), intervalMs };
}

function allowedWaitMs(
  entry: WaitingRequest,
  workMs: Milliseconds,
  shortMs: Milliseconds,
  now: Milliseconds,
): Milliseconds {
  const { objectiveMs } = entry.request;
  const inTimeMs = (entry.deadlineAt - now) * timeLeftShare - workMs;
  if (entry.requestClass.rank >= lateRank)
    return Math.min(inTimeMs, Math.max(shortMs, objectiveMs / 2));
  const onTimeMs = entry.objectiveAt - now - admittedWorks * workMs;
  return Math.min(inTimeMs, Math.max(shortMs, onTimeMs));
}

/** The waiting requests that can no longer be served in time, as the order stands now. */
export function findDisplaced(
  queue: FairQueue,
  targets: ServiceTargets,
  ordered: readonly WaitingRequest[],
  now: Milliseconds,
): WaitingRequest[] {
  const displaced: WaitingRequest[] = [];
  const accountAheadMs = new Map<object, Milliseconds>();
  let aheadMs = 0;
  for (const entry of ordered) {
    const { workMs } = targets.capacity(entry.request.kind);
    const accountMs = (accountAheadMs.get(entry.account) ?? 0) + entry.cost;
    const isLate = entry.requestClass.rank >= lateRank;
    // A request that is late waits for those that arrive meanwhile too; the others were admitted with them counted.
    const waitMs = isLate
      ? Math.max(aheadMs, waitAtRate(queue, entry, { accountMs, classCount: Infinity }, now))
      : aheadMs + entry.cost;
    if (now + queuedMs(targets, entry.request.kind) + waitMs + workMs > entry.deadlineAt) {
      displaced.push(entry);
      continue;
    }
    aheadMs += entry.cost;
    accountAheadMs.set(entry.account, accountMs);
  }
  return displaced;
}
