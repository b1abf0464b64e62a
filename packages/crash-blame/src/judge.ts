/**
 * Decides what causes the crashes of targets: a request, or something that several requests share. A pure function of the
 * recorded crashes. The best explanation is taken first, and its crashes then count for no other suspect.
 */
import type { Fingerprint, Milliseconds, SuspectKind } from "@linkfall/types";
import { type Evidence, noEvidence, rateWindowMs, weigh, type WeighedCrash } from "./evidence.js";
import { type CrashTimes, createCrashTimes, shareOfTargets } from "./crash-times.js";
import type { TargetCrash } from "./target-crash.js";

export type Verdict =
  /** No crash is attributed to the request. */
  | "clear"
  /** A target crashed while running the request, which may be coincidence. */
  | "suspect"
  /** Several targets crashed while running such requests, and reports from other boxes may be outstanding. */
  | "unsettled"
  /** Several crashes have other possible causes; the request may be sent once more, without retries. */
  | "last_try"
  /** The request, or something that it shares with others, is considered the cause. */
  | "guilty";

/** Crashes of one service, and what is known of its suspects. */
export interface Case {
  /** In the order of their times. */
  readonly crashes: readonly TargetCrash[];
  /** Number of targets of the service. */
  readonly targets: number;
  /** Time until responses of the service begin, at present. */
  readonly exposureMs: Milliseconds;
  /** What is held back. */
  readonly held: readonly Fingerprint[];
  /** Number of served requests with the suspect. */
  servedCount(suspect: Fingerprint): number;
  /** Changes when boxes have reported more served requests. */
  servedVersion(): number;
}

export interface Judgement {
  /** What the crashes tell of a suspect, without those that others explain. */
  evidenceOf(suspect: Fingerprint, now: Milliseconds): Evidence;
  /** Targets that crashed under the suspect. */
  targetsOf(suspect: Fingerprint): readonly string[];
  verdictOn(suspect: Fingerprint, now: Milliseconds): Verdict;
}

/** Time after a crash in which other boxes report the requests that they lost in it. */
export const settlingMs: Milliseconds = 500;
/** Crashes of one instant, as boxes notice them; unrelated crashes rarely coincide so closely. */
export const instantMs: Milliseconds = 25;
/** Crashes within this time of each other may share a cause, such as a power failure. */
const correlatedWindowMs: Milliseconds = 300;
/** Fraction of a service's targets that must crash with another one for it to count as a mass failure. */
const massFailureFraction = 0.3;

/** Evidence is weighed anew after this time, as good answers come in. */
const weighingTtlMs: Milliseconds = 1_000;
/**
 * Evidence is weighed anew after this time if boxes have reported successes since: hundreds of reports a second follow crashes.
 * Nothing is held on such evidence without weighing it again.
 */
const outdatedTtlMs: Milliseconds = 20;

/** Evidence that suffices; shared traits are more numerous than repeated requests, and holding one back affects more callers. */
const sufficientEvidence: Readonly<Record<SuspectKind, number>> = {
  request: 7.65,
  adapter: 8.2,
  "prompt part": 8.2,
  "prompt beginning": 8.2,
};
/** Evidence from which a request is sent without retries. */
const doubtfulEvidence = 6.3;
/** Evidence beyond the sufficient one that decides between suspects which explain the same crashes. */
const decisiveMargin = 2.5;
/** Suspects whose evidence differs by less explain their crashes equally well. */
const equalEvidence = 0.5;
/** The narrower explanation comes first, as holding it back affects fewer callers. */
const breadth: Readonly<Record<SuspectKind, number>> = {
  request: 0,
  adapter: 1,
  "prompt part": 2,
  "prompt beginning": 2,
};

interface SuspectRecord {
  readonly id: Fingerprint;
  readonly kind: SuspectKind;
  /** In the order of their times. */
  readonly crashes: readonly TargetCrash[];
}

/** The crashes that count, as seen by one suspect or by many. */
interface UnexplainedCrashes {
  readonly explained: ReadonlySet<TargetCrash>;
  readonly times: CrashTimes;
}

/** Finds the crashes of each suspect. */
function indexSuspects(crashes: readonly TargetCrash[]): ReadonlyMap<Fingerprint, SuspectRecord> {
  const found = new Map<Fingerprint, { kind: SuspectKind; crashes: TargetCrash[] }>();
  const add = (crash: TargetCrash, id: Fingerprint, kind: SuspectKind) => {
    const known = found.get(id);
    if (known) known.crashes.push(crash);
    else found.set(id, { kind, crashes: [crash] });
  };
  for (const crash of crashes) {
    for (const request of crash.requests) add(crash, request, "request");
    for (const [id, { kind }] of crash.shared) add(crash, id, kind);
  }
  return new Map([...found].map(([id, record]) => [id, { id, ...record }]));
}

/** Number of targets that crashed together with this one, itself included. */
function simultaneousCrashes(
  { at }: TargetCrash,
  own: CrashTimes,
  all: CrashTimes,
  targets: number,
): number {
  const ofInstant = all.countWithin(at - instantMs, at + instantMs);
  const [from, to] = [at - correlatedWindowMs, at + correlatedWindowMs];
  const others = all.countWithin(from, to) - own.countWithin(from, to);
  const isMassFailure = others >= Math.max(1, targets * massFailureFraction);
  return isMassFailure ? Math.max(ofInstant, others + 1) : ofInstant;
}

/**
 * Rate of crashes of one target, per millisecond, around the time of the suspect's crashes. Those with a request are left out;
 * those with a shared trait are not, since one that all requests have would leave none.
 */
function crashRateAround(
  kind: SuspectKind,
  own: readonly TargetCrash[],
  { shareWithin }: CrashTimes,
  targets: number,
): number {
  const [from, to] = [own[0].at, own[own.length - 1].at];
  const ownShare = kind === "request" ? shareOfTargets(own, targets) : 0;
  const share = shareWithin(from - rateWindowMs, to + rateWindowMs) - ownShare;
  return Math.max(0, share) / (to - from + rateWindowMs);
}

function weighSuspect(
  suspect: SuspectRecord,
  { explained, times }: UnexplainedCrashes,
  { targets, exposureMs, servedCount }: Case,
): Evidence {
  const own = suspect.crashes.filter((crash) => !explained.has(crash));
  if (own.length === 0) return noEvidence;
  const ownTimes = createCrashTimes(own, targets);
  const weighed = own.map((crash): WeighedCrash => {
    const weight = 1 / simultaneousCrashes(crash, ownTimes, times, targets);
    const writingMs = crash.shared.get(suspect.id)?.writingMs ?? 0;
    return { weight, writingMs };
  });
  const crashRate = crashRateAround(suspect.kind, own, times, targets);
  return weigh(weighed, { crashRate, exposureMs, served: servedCount(suspect.id) });
}

function includesAll(crashes: readonly TargetCrash[], others: readonly TargetCrash[]): boolean {
  if (others.length > crashes.length) return false;
  const included = new Set(crashes);
  return others.every((crash) => included.has(crash));
}

/** Whether a suspect that is held back explains its crashes to another one. */
function explains(held: SuspectRecord, other: SuspectRecord): boolean {
  if (!includesAll(other.crashes, held.crashes)) return true;
  // Either of them may be the cause of crashes that they share.
  if (other.crashes.length > held.crashes.length) return false;
  return held.kind !== other.kind;
}

/** Returns what counts for each suspect, if `held` are the known causes. */
function createExplanations(input: Case, held: readonly SuspectRecord[]) {
  const without = (explaining: readonly SuspectRecord[]): UnexplainedCrashes => {
    const explained = new Set(explaining.flatMap(({ crashes }) => crashes));
    const unexplained = input.crashes.filter((crash) => !explained.has(crash));
    return { explained, times: createCrashTimes(unexplained, input.targets) };
  };
  const common = without(held);
  return (suspect: SuspectRecord): UnexplainedCrashes => {
    const explaining = held.filter((other) => other.id !== suspect.id && explains(other, suspect));
    return explaining.length === held.length ? common : without(explaining);
  };
}

/** Whether another suspect explains the same crashes, and is not merely what the suspected request shares with others. */
function areRivals(suspect: SuspectRecord, other: SuspectRecord): boolean {
  if (other.id === suspect.id) return false;
  if (suspect.kind === "request" && other.kind !== "request") return false;
  return includesAll(other.crashes, suspect.crashes);
}

/** Whether the first suspect is the better explanation. */
function isBetter(left: Weighed, right: Weighed): boolean {
  const difference = left.evidence.weight - right.evidence.weight;
  if (Math.abs(difference) > equalEvidence) return difference > 0;
  return breadth[left.suspect.kind] < breadth[right.suspect.kind];
}

interface Weighed {
  readonly suspect: SuspectRecord;
  readonly evidence: Evidence;
}

function isDecided({ suspect, evidence: { weight } }: Weighed, all: readonly Weighed[]): boolean {
  const sufficient = sufficientEvidence[suspect.kind];
  if (weight < sufficient) return false;
  if (weight >= sufficient + decisiveMargin) return true;
  return !all.some(
    (other) => other.evidence.weight >= weight - equalEvidence && areRivals(suspect, other.suspect),
  );
}

/** Finds the causes of crashes that are not held back yet, the best explanation first. */
function findCauses(
  input: Case,
  held: readonly SuspectRecord[],
  suspects: readonly SuspectRecord[],
): ReadonlyMap<Fingerprint, Evidence> {
  const found = new Map<Fingerprint, Evidence>();
  const causes = [...held];
  for (;;) {
    const unexplainedFor = createExplanations(input, causes);
    const weighed = suspects
      .filter(({ id }) => !found.has(id))
      .map((suspect) => ({
        suspect,
        evidence: weighSuspect(suspect, unexplainedFor(suspect), input),
      }));
    const decided = weighed.filter((candidate) => isDecided(candidate, weighed));
    if (decided.length === 0) return found;
    const best = decided.reduce((left, right) => (isBetter(right, left) ? right : left));
    found.set(best.suspect.id, best.evidence);
    causes.push(best.suspect);
  }
}

/** When evidence was weighed, and up to which reports of served requests. */
interface Weighing {
  readonly at: Milliseconds;
  readonly version: number;
}

/** Judges the crashes of a service. */
export function judge(input: Case): Judgement {
  const suspects = indexSuspects(input.crashes);
  const recordOf = (id: Fingerprint): SuspectRecord =>
    suspects.get(id) ?? { id, kind: "request", crashes: [] };
  const heldIds = new Set(input.held);
  const held = input.held.map(recordOf).filter(({ crashes }) => crashes.length > 0);
  const unexplainedFor = createExplanations(input, held);
  const weighings = new Map<Fingerprint, Weighing & { readonly evidence: Evidence }>();
  let causes: (Weighing & { readonly found: ReadonlyMap<Fingerprint, Evidence> }) | undefined;

  const isUpToDate = ({ version }: Weighing) => version === input.servedVersion();
  const isCurrent = (weighing: Weighing, now: Milliseconds) =>
    now - weighing.at < (isUpToDate(weighing) ? weighingTtlMs : outdatedTtlMs);

  const evidenceAgainst = (suspect: SuspectRecord, now: Milliseconds): Evidence => {
    const known = weighings.get(suspect.id);
    if (known && isCurrent(known, now)) return known.evidence;
    const evidence = weighSuspect(suspect, unexplainedFor(suspect), input);
    weighings.set(suspect.id, { at: now, version: input.servedVersion(), evidence });
    return evidence;
  };
  // Most suspects are cleared by their own evidence, so that the others need not be weighed.
  const findCausesAt = (now: Milliseconds): ReadonlyMap<Fingerprint, Evidence> => {
    if (causes && isCurrent(causes, now)) return causes.found;
    const candidates = [...suspects.values()].filter(
      // One crash never suffices.
      ({ id, crashes }) => crashes.length > 1 && !heldIds.has(id),
    );
    const found = findCauses(input, held, candidates);
    causes = { at: now, version: input.servedVersion(), found };
    return found;
  };
  /** Whether the suspect is a cause by all that has been served so far. */
  const isCertainCause = (id: Fingerprint, now: Milliseconds): boolean => {
    if (causes && !isUpToDate(causes)) causes = undefined;
    return findCausesAt(now).has(id);
  };
  /** Whether causes that were found leave too little evidence against the suspect. */
  const isExplained = (suspect: SuspectRecord, now: Milliseconds): boolean => {
    const found = [...findCausesAt(now).keys()].map(recordOf);
    const unexplained = createExplanations(input, [...held, ...found])(suspect);
    return weighSuspect(suspect, unexplained, input).weight < doubtfulEvidence;
  };

  return {
    evidenceOf: (id, now) => findCausesAt(now).get(id) ?? evidenceAgainst(recordOf(id), now),
    targetsOf: (id) => recordOf(id).crashes.map(({ target }) => target),
    verdictOn(id, now) {
      if (heldIds.has(id)) return "guilty";
      const suspect = recordOf(id);
      if (suspect.crashes.length === 0) return "clear";
      if (suspect.crashes.length === 1) return "suspect";
      if (evidenceAgainst(suspect, now).weight < doubtfulEvidence) return "suspect";
      const isCause = findCausesAt(now).has(id);
      if (!isCause && isExplained(suspect, now)) return "suspect";
      const newest = suspect.crashes[suspect.crashes.length - 1];
      if (now - newest.at < settlingMs) return "unsettled";
      return isCause && isCertainCause(id, now) ? "guilty" : "last_try";
    },
  };
}
