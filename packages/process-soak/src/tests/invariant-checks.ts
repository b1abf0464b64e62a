/** Invariants that a soak test checks, as pure functions of what callers and targets recorded. */
import type { Disruption } from "./planned-stop-checks.js";

/** The result of a request as its caller observed it. Times are in milliseconds. */
export interface Outcome {
  readonly id: string;
  readonly repeatable: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Absent if the connection ended without an answer. */
  readonly status?: number;
  /** Whether the whole answer was received. */
  readonly complete: boolean;
  /** Whether the answer is the one expected for this request. */
  readonly matchesRequest: boolean;
  /** For streams, whether what the caller received, complete or not, is the beginning of the expected stream. */
  readonly isContinuous?: boolean;
  readonly box: string;
  /** Account of the key that was sent; absent if the key is unknown. */
  readonly account?: string;
}

/** A request that a target started to run. */
export interface TargetRun {
  readonly id: string;
  readonly target: string;
  readonly at: number;
  /** Values of the headers that the target received. */
  readonly headerValues?: readonly string[];
  /** Account that the target received with the request. */
  readonly account?: string;
}

/** An order that an engine received. */
export interface ReceivedOrder {
  readonly engine: string;
  readonly holder: string;
  readonly epoch: number;
  readonly at: number;
}

/** Whether a box had the route of a configuration version when it was polled. */
export interface RouteProbe {
  readonly box: string;
  readonly incarnation: number;
  readonly version: number;
  readonly hasVersion: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A violated invariant. */
export interface Finding {
  readonly promise: string;
  readonly detail: string;
}

/** Statuses that guarantee that the request has not run and will not run. */
const rejectedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const okStatus = 200;

function groupRunsById(runs: readonly TargetRun[]): ReadonlyMap<string, readonly TargetRun[]> {
  const runsByRequest = new Map<string, TargetRun[]>();
  for (const run of runs) runsByRequest.set(run.id, [...(runsByRequest.get(run.id) ?? []), run]);
  return runsByRequest;
}

/** Checks that requests that are not repeatable run at most once. */
export function checkAtMostOnce(
  outcomes: readonly Outcome[],
  runs: readonly TargetRun[],
): readonly Finding[] {
  const runsByRequest = groupRunsById(runs);
  return outcomes
    .filter(({ id, repeatable }) => !repeatable && (runsByRequest.get(id)?.length ?? 0) > 1)
    .map(({ id }) => ({
      promise: "at most once",
      detail: `${id} ran at ${targetsOf(runsByRequest, id)}`,
    }));
}

/** Checks that requests rejected as not run have not run. */
export function checkRejectedNotRun(
  outcomes: readonly Outcome[],
  runs: readonly TargetRun[],
): readonly Finding[] {
  const runsByRequest = groupRunsById(runs);
  return outcomes
    .filter(({ id, status }) => rejectedStatuses.has(status ?? 0) && runsByRequest.has(id))
    .map(({ id, status }) => ({
      promise: "not run is true",
      detail: `${id} was rejected with ${status} and ran at ${targetsOf(runsByRequest, id)}`,
    }));
}

function targetsOf(runsByRequest: ReadonlyMap<string, readonly TargetRun[]>, id: string): string {
  return (runsByRequest.get(id) ?? []).map((run) => run.target).join(", ");
}

/** Checks that no header forged by a caller reaches a target; forged headers have the value `forgedValue`. */
export function checkNoForgedHeaders(
  runs: readonly TargetRun[],
  forgedValue: string,
): readonly Finding[] {
  return runs
    .filter(({ headerValues }) => headerValues?.includes(forgedValue))
    .map(({ id, target }) => ({
      promise: "callers do not steer targets",
      detail: `${id} reached ${target} with a header that callers must not set`,
    }));
}

/** Checks that targets receive only requests of known accounts, with the right account and without any key. */
export function checkAccountsOfRuns(
  outcomes: readonly Outcome[],
  runs: readonly TargetRun[],
  keys: readonly string[],
): readonly Finding[] {
  const accountsById = new Map(outcomes.map(({ id, account }) => [id, account]));
  return runs
    .filter(({ id }) => accountsById.has(id))
    .filter(({ id, account, headerValues = [] }) => {
      const expectedAccount = accountsById.get(id);
      return (
        expectedAccount === undefined ||
        expectedAccount !== account ||
        keys.some((key) => headerValues.includes(key))
      );
    })
    .map(({ id, target, account }) => ({
      promise: "requests belong to accounts",
      detail: `${id} of account ${accountsById.get(id) ?? "nobody"} reached ${target} with account ${account ?? "nobody"}, or with a key`,
    }));
}

/** Checks that a successful, complete answer is the one expected for its request. */
export function checkCompleteAnswers(outcomes: readonly Outcome[]): readonly Finding[] {
  return outcomes
    .filter(
      ({ status, complete, matchesRequest }) => status === okStatus && complete && !matchesRequest,
    )
    .map(({ id, box }) => ({
      promise: "whole and own answers",
      detail: `${id} got a wrong or truncated answer as complete from ${box}`,
    }));
}

/** Checks that callers receive whole events only, each once and in order, in streams that break off too. */
export function checkContinuousStreams(outcomes: readonly Outcome[]): readonly Finding[] {
  return outcomes
    .filter(({ isContinuous }) => isContinuous === false)
    .map(({ id, box }) => ({
      promise: "a stream is one stream",
      detail: `${id} got a part of an event, or events that repeat or are missing, from ${box}`,
    }));
}

/** Checks that all orders of an epoch come from the same lease holder. */
export function checkOneHolderPerEpoch(orders: readonly ReceivedOrder[]): readonly Finding[] {
  const holdersByEpoch = new Map<number, string>();
  return orders.flatMap(({ engine, holder, epoch }) => {
    const firstHolder = holdersByEpoch.get(epoch) ?? holder;
    holdersByEpoch.set(epoch, firstHolder);
    if (firstHolder === holder) return [];
    return [
      {
        promise: "one order giver",
        detail: `${engine} received orders from ${firstHolder} and ${holder} in epoch ${epoch}`,
      },
    ];
  });
}

/** When boxes were not in touch: not running undisturbed, or without the store. */
export interface ContactRecord {
  /** Disruptions of a box, or of all boxes if the subject is `all`. */
  readonly disruptions: readonly Disruption[];
  /** Time after a disruption until a box counts as in touch again. */
  readonly contactMs: number;
}

/** A record on who holds the order lease. */
export interface LeaseRecord {
  /** Name of the box; absent if the lease was released. */
  readonly holder?: string;
  readonly at: number;
}

function isInTouch({ disruptions, contactMs }: ContactRecord, box: string, time: number): boolean {
  return !disruptions.some(
    ({ subject, from, until }) =>
      (subject === box || subject === "all") && time >= from && time <= until + contactMs,
  );
}

/** Checks that no other box claims the lease of a holder that is in touch, unless the holder has released it. */
export function checkHoldersKeepLease(
  records: readonly LeaseRecord[],
  contact: ContactRecord,
): readonly Finding[] {
  return records.flatMap(({ holder, at }, index) => {
    const former = records[index - 1]?.holder;
    const isTaken = former !== undefined && holder !== undefined && holder !== former;
    if (!isTaken || !isInTouch(contact, former, at)) return [];
    return [
      {
        promise: "a holder in touch keeps the lease",
        detail: `${holder} claimed it from ${former}`,
      },
    ];
  });
}

/** Checks that no box sends an engine orders again within the lease time after which another box did, while both are in touch. */
export function checkNoTurns(
  orders: readonly ReceivedOrder[],
  contact: ContactRecord,
  leaseMs: number,
): readonly Finding[] {
  const counted = orders
    .filter(({ holder, at }) => isInTouch(contact, holder, at))
    .sort((left, right) => left.at - right.at);
  return counted.flatMap((order, index) => {
    const before = counted
      .slice(0, index)
      .filter(({ engine, at }) => engine === order.engine && order.at - at <= leaseMs);
    const own = before.findIndex(({ holder }) => holder === order.holder);
    const other = before.findLast(({ holder }) => holder !== order.holder);
    if (own < 0 || !other || before.indexOf(other) < own) return [];
    return [
      {
        promise: "no turns of order givers",
        detail: `${order.engine} received orders from ${order.holder}, ${other.holder} and ${order.holder} within ${Math.round(order.at - before[own].at)} ms`,
      },
    ];
  });
}

/** Checks that an incarnation of a box does not lose a configuration version before it is replaced. */
export function checkNoConfigurationRollback(
  probes: readonly RouteProbe[],
  replacedAt: (version: number) => number,
): readonly Finding[] {
  const latestProbes = new Map<string, RouteProbe>();
  return probes.flatMap((probe) => {
    const key = `${probe.box} ${probe.incarnation}`;
    const latest = latestProbes.get(key);
    if (probe.hasVersion && (!latest || probe.version >= latest.version))
      latestProbes.set(key, probe);
    if (probe.hasVersion || !latest) return [];
    const lostBeforeReplaced =
      latest.version === probe.version && probe.endedAt < replacedAt(probe.version);
    const sentAfterLatest = probe.sentAt > latest.endedAt;
    if (!lostBeforeReplaced || !sentAfterLatest) return [];
    return [
      {
        promise: "a configuration does not revert",
        detail: `${probe.box} lost version ${probe.version}`,
      },
    ];
  });
}

/** Checks that a leaving target starts no request after `drainedAt`. */
export function checkDraining(
  runs: readonly TargetRun[],
  target: string,
  drainedAt: number,
): readonly Finding[] {
  const lateRuns = runs.filter((run) => run.target === target && run.at > drainedAt);
  return lateRuns.map(({ id }) => ({
    promise: "a leaving target gets nothing new",
    detail: `${id} started at ${target} after it was drained`,
  }));
}

/** Checks that every request of a period without faults gets a complete, successful answer. */
export function checkAllAnswered(outcomes: readonly Outcome[], period: string): readonly Finding[] {
  return outcomes
    .filter(({ status, complete }) => status !== okStatus || !complete)
    .map(({ id, status, box }) => ({
      promise: `every request is answered ${period}`,
      detail: `${id} got ${status ?? "no answer"} from ${box}`,
    }));
}

/** Boxes that were cut off from all targets, and the period in which their callers are judged, in milliseconds. */
export interface CutPeriod {
  readonly boxes: ReadonlySet<string>;
  readonly from: number;
  readonly until: number;
}

/** First tries of a period at the boxes that were cut off and at the others. */
export interface CutCounts {
  readonly triesThere: number;
  readonly servedThere: number;
  readonly triesElsewhere: number;
  readonly servedElsewhere: number;
}

const isServed = ({ status, complete }: Outcome): boolean => status === okStatus && complete;

/** Counts the requests that were sent in the period. */
export function countCutPeriod(
  outcomes: readonly Outcome[],
  { boxes, from, until }: CutPeriod,
): CutCounts {
  const judged = outcomes.filter(({ sentAt }) => sentAt >= from && sentAt < until);
  const there = judged.filter(({ box }) => boxes.has(box));
  const elsewhere = judged.filter(({ box }) => !boxes.has(box));
  return {
    triesThere: there.length,
    servedThere: there.filter(isServed).length,
    triesElsewhere: elsewhere.length,
    servedElsewhere: elsewhere.filter(isServed).length,
  };
}

/** Fraction of the others' success rate that boxes without links to targets have to reach. */
const minServedRatio = 2 / 3;
/** Failures that are tolerated in any case: some, and a fraction of all requests of the period. */
const toleratedFailures = 10;
const toleratedFailureFraction = 1 / 50;

/** Checks that boxes that were cut off from all targets served nearly as large a part of their requests as the others. */
export function checkCutBoxesServe(
  outcomes: readonly Outcome[],
  period: CutPeriod,
  description: string,
): readonly Finding[] {
  const { triesThere, servedThere, triesElsewhere, servedElsewhere } = countCutPeriod(
    outcomes,
    period,
  );
  const tolerated = toleratedFailures + toleratedFailureFraction * (triesThere + triesElsewhere);
  if (triesThere - servedThere <= tolerated) return [];
  if (servedThere * triesElsewhere >= minServedRatio * servedElsewhere * triesThere) return [];
  return [
    {
      promise: "a box that reaches no target serves nearly as well as the others",
      detail: `${description}: ${servedThere} of ${triesThere} at ${[...period.boxes].join(", ")}, ${servedElsewhere} of ${triesElsewhere} elsewhere`,
    },
  ];
}
