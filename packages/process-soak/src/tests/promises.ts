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
  readonly whole: boolean;
  /** The answer is the one that a target made for this request. */
  readonly own: boolean;
  readonly box: string;
  /** Account that holds the key that was sent; absent where nobody holds it. */
  readonly account?: string;
}

/** A target has begun to work on a request. */
export interface Begun {
  readonly id: string;
  readonly target: string;
  readonly at: number;
  /** Values of the request's headers as they reached the target. */
  readonly headerValues?: readonly string[];
  /** Account that the target was told. */
  readonly account?: string;
}

/** An order that reached an engine. */
export interface ArrivedOrder {
  readonly engine: string;
  readonly holder: string;
  readonly epoch: number;
  readonly at: number;
}

/** Whether a box had a version's route when it was asked. */
export interface RouteProbe {
  readonly box: string;
  readonly life: number;
  readonly version: number;
  readonly known: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A broken promise. */
export interface Finding {
  readonly promise: string;
  readonly detail: string;
}

/** Statuses that promise that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const okStatus = 200;

function runsById(begun: readonly Begun[]): ReadonlyMap<string, readonly Begun[]> {
  const runs = new Map<string, Begun[]>();
  for (const run of begun) runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
  return runs;
}

/** What may not be repeated runs at most once. */
export function checkAtMostOnce(
  outcomes: readonly Outcome[],
  begun: readonly Begun[],
): readonly Finding[] {
  const runs = runsById(begun);
  return outcomes
    .filter(({ id, repeatable }) => !repeatable && (runs.get(id)?.length ?? 0) > 1)
    .map(({ id }) => ({ promise: "at most once", detail: `${id} ran at ${targetsOf(runs, id)}` }));
}

/** What was refused as not run has not run. */
export function checkNotRun(
  outcomes: readonly Outcome[],
  begun: readonly Begun[],
): readonly Finding[] {
  const runs = runsById(begun);
  return outcomes
    .filter(({ id, status }) => notRunStatuses.has(status ?? 0) && runs.has(id))
    .map(({ id, status }) => ({
      promise: "not run is true",
      detail: `${id} was refused with ${status} and ran at ${targetsOf(runs, id)}`,
    }));
}

function targetsOf(runs: ReadonlyMap<string, readonly Begun[]>, id: string): string {
  return (runs.get(id) ?? []).map((run) => run.target).join(", ");
}

/** Nothing that a caller forged to steer a target reaches it; forged headers carry `mark`. */
export function checkNoForgery(begun: readonly Begun[], mark: string): readonly Finding[] {
  return begun
    .filter(({ headerValues }) => headerValues?.includes(mark))
    .map(({ id, target }) => ({
      promise: "callers do not steer targets",
      detail: `${id} reached ${target} with a header that only linkfall may set`,
    }));
}

/** Targets get requests of accounts only, under the right name, and never a key. */
export function checkAccounts(
  outcomes: readonly Outcome[],
  begun: readonly Begun[],
  keys: readonly string[],
): readonly Finding[] {
  const accounts = new Map(outcomes.map(({ id, account }) => [id, account]));
  return begun
    .filter(({ id }) => accounts.has(id))
    .filter(({ id, account, headerValues = [] }) => {
      const holder = accounts.get(id);
      return (
        holder === undefined || holder !== account || keys.some((key) => headerValues.includes(key))
      );
    })
    .map(({ id, target, account }) => ({
      promise: "requests belong to accounts",
      detail: `${id} of ${accounts.get(id) ?? "nobody"} reached ${target} as ${account ?? "nobody"}'s, or with a key`,
    }));
}

/** An answer that looks whole is the caller's own, to its end. */
export function checkWholeAndOwn(outcomes: readonly Outcome[]): readonly Finding[] {
  return outcomes
    .filter(({ status, whole, own }) => status === okStatus && whole && !own)
    .map(({ id, box }) => ({
      promise: "whole and own answers",
      detail: `${id} got another answer, or a part of its own, as whole from ${box}`,
    }));
}

/** Orders under one epoch come from one holder, and a holder's epochs only rise. */
export function checkOneHolder(orders: readonly ArrivedOrder[]): readonly Finding[] {
  const holders = new Map<number, string>();
  return orders.flatMap(({ engine, holder, epoch }) => {
    const known = holders.get(epoch) ?? holder;
    holders.set(epoch, known);
    if (known === holder) return [];
    return [
      {
        promise: "one order giver",
        detail: `${engine} got orders of ${known} and ${holder} under epoch ${epoch}`,
      },
    ];
  });
}

/** Within one life of a box, a version that was in force stays known until a newer one is written. */
export function checkNoReversal(
  probes: readonly RouteProbe[],
  replacedAt: (version: number) => number,
): readonly Finding[] {
  const seen = new Map<string, RouteProbe>();
  return probes.flatMap((probe) => {
    const key = `${probe.box} ${probe.life}`;
    const highest = seen.get(key);
    if (probe.known && (!highest || probe.version >= highest.version)) seen.set(key, probe);
    if (probe.known || !highest) return [];
    const went = highest.version === probe.version && probe.endedAt < replacedAt(probe.version);
    const later = probe.sentAt > highest.endedAt;
    if (!went || !later) return [];
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
  begun: readonly Begun[],
  target: string,
  from: number,
): readonly Finding[] {
  const late = begun.filter((run) => run.target === target && run.at > from);
  return late.map(({ id }) => ({
    promise: "a leaving target gets nothing new",
    detail: `${id} began at ${target} after that`,
  }));
}

/** In calm times every request gets a whole answer. */
export function checkAllAnswered(outcomes: readonly Outcome[], when: string): readonly Finding[] {
  return outcomes
    .filter(({ status, whole }) => status !== okStatus || !whole)
    .map(({ id, status, box }) => ({
      promise: `every request is answered ${when}`,
      detail: `${id} got ${status ?? "no answer"} from ${box}`,
    }));
}
