/** The promises that a soak checks, as pure functions over what callers and targets have seen. */

/** What one caller saw of one request. */
export interface Outcome {
  readonly id: string;
  readonly repeatable: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Absent where the connection ended without an answer. */
  readonly status?: number;
  /** The answer came to its end. */
  readonly complete: boolean;
  /** The answer is the one that a target made for this request. */
  readonly matchesRequest: boolean;
  readonly box: string;
  /** Account that holds the key that was sent; absent where nobody holds it. */
  readonly account?: string;
}

/** A target has begun to work on a request. */
export interface TargetRun {
  readonly id: string;
  readonly target: string;
  readonly at: number;
  /** Values of the request's headers as they reached the target. */
  readonly headerValues?: readonly string[];
  /** Account that the target was told. */
  readonly account?: string;
}

/** An order that reached an engine. */
export interface ReceivedOrder {
  readonly engine: string;
  readonly holder: string;
  readonly epoch: number;
  readonly at: number;
}

/** Whether a box had a version's route when it was asked. */
export interface RouteProbe {
  readonly box: string;
  readonly incarnation: number;
  readonly version: number;
  readonly hasVersion: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A broken promise. */
export interface Finding {
  readonly promise: string;
  readonly detail: string;
}

/** Statuses that promise that the request has not run and never will. */
const rejectedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const okStatus = 200;

function groupRunsById(runs: readonly TargetRun[]): ReadonlyMap<string, readonly TargetRun[]> {
  const runsByRequest = new Map<string, TargetRun[]>();
  for (const run of runs) runsByRequest.set(run.id, [...(runsByRequest.get(run.id) ?? []), run]);
  return runsByRequest;
}

/** What may not be repeated runs at most once. */
export function checkAtMostOnce(
  outcomes: readonly Outcome[],
  runs: readonly TargetRun[],
): readonly Finding[] {
  const runsByRequest = groupRunsById(runs);
  return outcomes
    .filter(({ id, repeatable }) => !repeatable && (runsByRequest.get(id)?.length ?? 0) > 1)
    .map(({ id }) => ({ promise: "at most once", detail: `${id} ran at ${targetsOf(runsByRequest, id)}` }));
}

/** What was refused as not run has not run. */
export function checkRejectedNotRun(
  outcomes: readonly Outcome[],
  runs: readonly TargetRun[],
): readonly Finding[] {
  const runsByRequest = groupRunsById(runs);
  return outcomes
    .filter(({ id, status }) => rejectedStatuses.has(status ?? 0) && runsByRequest.has(id))
    .map(({ id, status }) => ({
      promise: "not run is true",
      detail: `${id} was refused with ${status} and ran at ${targetsOf(runsByRequest, id)}`,
    }));
}

function targetsOf(runsByRequest: ReadonlyMap<string, readonly TargetRun[]>, id: string): string {
  return (runsByRequest.get(id) ?? []).map((run) => run.target).join(", ");
}

/** Nothing that a caller forged to steer a target reaches it; forged headers carry `mark`. */
export function checkNoForgedHeaders(runs: readonly TargetRun[], forgedValue: string): readonly Finding[] {
  return runs
    .filter(({ headerValues }) => headerValues?.includes(forgedValue))
    .map(({ id, target }) => ({
      promise: "callers do not steer targets",
      detail: `${id} reached ${target} with a header that only linkfall may set`,
    }));
}

/** Targets get requests of accounts only, under the right name, and never a key. */
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
        expectedAccount === undefined || expectedAccount !== account || keys.some((key) => headerValues.includes(key))
      );
    })
    .map(({ id, target, account }) => ({
      promise: "requests belong to accounts",
      detail: `${id} of ${accountsById.get(id) ?? "nobody"} reached ${target} as ${account ?? "nobody"}'s, or with a key`,
    }));
}

/** An answer that looks whole is the caller's own, to its end. */
export function checkCompleteAnswers(outcomes: readonly Outcome[]): readonly Finding[] {
  return outcomes
    .filter(({ status, complete: whole, matchesRequest: own }) => status === okStatus && whole && !own)
    .map(({ id, box }) => ({
      promise: "whole and own answers",
      detail: `${id} got another answer, or a part of its own, as whole from ${box}`,
    }));
}

/** Orders under one epoch come from one holder, and a holder's epochs only rise. */
export function checkOneHolderPerEpoch(orders: readonly ReceivedOrder[]): readonly Finding[] {
  const holdersByEpoch = new Map<number, string>();
  return orders.flatMap(({ engine, holder, epoch }) => {
    const firstHolder = holdersByEpoch.get(epoch) ?? holder;
    holdersByEpoch.set(epoch, firstHolder);
    if (firstHolder === holder) return [];
    return [
      {
        promise: "one order giver",
        detail: `${engine} got orders of ${firstHolder} and ${holder} under epoch ${epoch}`,
      },
    ];
  });
}

/** Within one life of a box, a version that was in force stays known until a newer one is written. */
export function checkNoConfigurationRollback(
  probes: readonly RouteProbe[],
  replacedAt: (version: number) => number,
): readonly Finding[] {
  const latestProbes = new Map<string, RouteProbe>();
  return probes.flatMap((probe) => {
    const key = `${probe.box} ${probe.incarnation}`;
    const latest = latestProbes.get(key);
    if (probe.hasVersion && (!latest || probe.version >= latest.version)) latestProbes.set(key, probe);
    if (probe.hasVersion || !latest) return [];
    const lostBeforeReplaced = latest.version === probe.version && probe.endedAt < replacedAt(probe.version);
    const sentAfterLatest = probe.sentAt > latest.endedAt;
    if (!lostBeforeReplaced || !sentAfterLatest) return [];
    return [
      {
        promise: "a configuration does not revert",
        detail: `${probe.box} had version ${probe.version} and lost it`,
      },
    ];
  });
}

/** A target that leaves gets nothing new after a while. */
export function checkDraining(
  runs: readonly TargetRun[],
  target: string,
  drainedAt: number,
): readonly Finding[] {
  const lateRuns = runs.filter((run) => run.target === target && run.at > drainedAt);
  return lateRuns.map(({ id }) => ({
    promise: "a leaving target gets nothing new",
    detail: `${id} began at ${target} after that`,
  }));
}

/** In calm times every request gets a whole answer. */
export function checkAllAnswered(outcomes: readonly Outcome[], period: string): readonly Finding[] {
  return outcomes
    .filter(({ status, complete: whole }) => status !== okStatus || !whole)
    .map(({ id, status, box }) => ({
      promise: `every request is answered ${period}`,
      detail: `${id} got ${status ?? "no answer"} from ${box}`,
    }));
}
