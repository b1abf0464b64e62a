/**
 * Detects requests that crash the targets that run them, and what such requests have in common, and holds them back. Crashes
 * are shared between boxes, since callers send such requests to any box, and each would take down another target.
 */
import { createReceivedUpdates } from "@linkfall/followed-news";
import { type Clock, serviceName } from "@linkfall/kernel";
import type {
  BlameMessage,
  BlameRecord,
  Fingerprint,
  HeldRequest,
  Incarnation,
  Milliseconds,
  SuspectKind,
} from "@linkfall/types";
import {
  addCrash,
  addHeldRequest,
  addServed,
  createBlameState,
  isForgiven,
} from "./blame-state.js";
import { applyRecord, recordsSince } from "./blame-records.js";
import { traitsBeside } from "./crash-weights.js";
import { createExposures } from "./exposures.js";
import { type Judgement, judge, type Verdict } from "./judge.js";
import { type SharedTrait, sharedTrait } from "./shared-trait.js";
import { createSuccessReports } from "./success-reports.js";
import type { SharedInCrash } from "./target-crash.js";

export { describeCause } from "./describe-cause.js";
export { heldRequestSchema } from "./held-request-schema.js";
export { createHeldRequestStore, type HeldRequestStore } from "./held-request-store.js";
export { settlingMs, type Verdict } from "./judge.js";
export { reportDecisions } from "./report-decisions.js";
export { sharedTrait, type SharedTrait } from "./shared-trait.js";
export { heldRequestsPath } from "./target-crash.js";

/** Identifies a request, and describes it to operators if it is held back. */
export interface RequestAttributes {
  /** Computed on demand, since most requests are never suspected. */
  readonly request: Fingerprint;
  readonly service: string;
  readonly route: string;
  readonly account?: string;
  /** What the request shares with others. */
  readonly shared?: readonly SharedTrait[];
}

/** What a box knows of the target that crashed. */
export interface CrashDetails {
  /** Number of the service's targets that were running requests. */
  readonly targetsInUse: number;
  /** Time since the response to the request had begun; 0 if it had not. */
  readonly writingMs?: Milliseconds;
}

/** The verdict on a request, and what it is due to. */
export interface Classification {
  readonly verdict: Verdict;
  /** What decided it; absent if the verdict is `clear`. */
  readonly kind?: SuspectKind;
  readonly text?: string;
}

export interface CrashBlame {
  /** Whether no crashes and nothing held are recorded, so that callers need not compute fingerprints. */
  isEmpty(): boolean;
  /**
   * Judges a request, and holds it or what it shares with others back from now on if that is guilty.
   *
   * @param targets number of targets of the request's service
   */
  classify(attributes: RequestAttributes, targets: number): Classification;
  /** Records that a target crashed while running the request. */
  recordCrash(target: string, attributes: RequestAttributes, details: CrashDetails): void;
  /**
   * Records that the request was served successfully.
   *
   * @param beganAfterMs time from the send to the beginning of the response, if known
   */
  recordServed(attributes: RequestAttributes, beganAfterMs?: Milliseconds): void;
  heldRequests(): readonly HeldRequest[];
  /** Releases what is held under a fingerprint; returns false if nothing is. */
  release(request: Fingerprint): boolean;
  /** Restores a persisted decision. */
  restore(heldRequest: HeldRequest): void;
  /**
   * Returns the changes after a sequence number of this box, for another box to apply; without the records that `recipient`
   * sent itself.
   */
  changesSince(sequence: number, recipient?: Incarnation): BlameMessage;
  /** Applies changes from another box. */
  applyChanges(from: Incarnation, changes: BlameMessage): void;
  /** Sequence number up to which the changes of another box have been applied. */
  appliedSequence(other: Incarnation): number;
  /**
   * Calls the listener on changes that originate at this box and that others need at once: crashes, decisions, and successes
   * that may clear a suspect.
   */
  onChange(listener: () => void): void;
  /** Calls the listener when this box holds something back or releases it. */
  onDecision(listener: (heldRequest: HeldRequest) => void): void;
}

export const crashBlameName = serviceName<CrashBlame>("crash-blame");

/** One of the things that a request may be held back for. */
interface Suspect {
  readonly id: Fingerprint;
  readonly kind: SuspectKind;
  readonly text?: string;
}

/** Order of verdicts; the strictest one on any suspect applies to the request. */
const strictness: Readonly<Record<Verdict, number>> = {
  clear: 0,
  suspect: 1,
  last_try: 2,
  unsettled: 3,
  guilty: 4,
};
/** Traits of one request that a crash record names; the least served ones are the most suspect. */
const maxTraitsPerRequest = 64;

/**
 * Creates an instance without any records.
 *
 * @param self incarnation of this box, under which it reports its successes
 */
export function createCrashBlame(clock: Clock, self: Incarnation = ""): CrashBlame {
  const state = createBlameState();
  const applied = createReceivedUpdates();
  const successes = createSuccessReports(state, self, clock.now);
  const exposures = createExposures();
  const changeListeners: (() => void)[] = [];
  const decisionListeners: ((heldRequest: HeldRequest) => void)[] = [];
  const judgements = new Map<string, { version: number; judgement: Judgement }>();

  const notifyChange = () => {
    for (const listener of changeListeners) listener();
  };
  const decide = (heldRequest: HeldRequest) => {
    addHeldRequest(state, heldRequest, clock.now());
    for (const listener of decisionListeners) listener(heldRequest);
    successes.reportTraits(traitsBeside(state, heldRequest.request));
    notifyChange();
  };
  const isHeld = (suspect: Fingerprint) => state.held.get(suspect)?.held === true;

  const judgementOn = (service: string, targets: number): Judgement => {
    const version = state.decisiveChanges;
    const key = `${targets} ${service}`;
    const known = judgements.get(key);
    if (known?.version === version) return known.judgement;
    const crashes = [...state.crashes.values()]
      .filter((crash) => crash.service === service && !isForgiven(state, crash))
      .sort((left, right) => left.at - right.at);
    const judgement = judge({
      crashes,
      targets,
      get exposureMs() {
        return exposures.of(service);
      },
      held: [...state.held.keys()].filter(isHeld),
      servedCount: successes.servedCount,
      servedVersion: () => state.servedChanges,
    });
    if (judgements.size > state.crashes.size) judgements.clear();
    judgements.set(key, { version, judgement });
    return judgement;
  };

  const suspectsOf = ({ request, service, shared = [] }: RequestAttributes): readonly Suspect[] => [
    { id: request, kind: "request" },
    ...shared.map((trait) => ({ id: successes.idOf(service, trait), ...trait })),
  ];

  const hold = (
    { service, route, account }: RequestAttributes,
    { id, kind, text }: Suspect,
    judgement: Judgement,
  ) => {
    const revision = (state.held.get(id)?.revision ?? 0) + 1;
    decide({
      request: id,
      kind,
      text,
      revision,
      held: true,
      service,
      route,
      account: kind === "request" ? account : undefined,
      targets: judgement.targetsOf(id),
      evidence: judgement.evidenceOf(id, clock.now()),
      since: clock.wallTime(),
    });
  };

  /** Traits whose crashes may weigh more since the record was applied. */
  const traitsOf = (record: BlameRecord): readonly Fingerprint[] => {
    if (record.kind === "held") return traitsBeside(state, record.word.request);
    if (record.kind !== "end") return [];
    const { service, shared = [] } = record;
    return shared.map(([kind, text]) => successes.idOf(service, sharedTrait(kind, text)));
  };

  return {
    isEmpty: () => state.crashes.size === 0 && state.held.size === 0,
    classify(attributes, targets) {
      const suspects = suspectsOf(attributes);
      const judgement = judgementOn(attributes.service, targets);
      let strictest: Classification = { verdict: "clear" };
      for (const suspect of suspects) {
        const { id, kind, text } = suspect;
        const verdict = isHeld(id) ? "guilty" : judgement.verdictOn(id, clock.now());
        if (verdict === "guilty" && !isHeld(id)) hold(attributes, suspect, judgement);
        if (strictness[verdict] > strictness[strictest.verdict])
          strictest = { verdict, kind, text };
      }
      return strictest;
    },
    recordCrash(target, { request, service, shared = [] }, { targetsInUse, writingMs = 0 }) {
      const now = clock.now();
      const traits = shared
        .map((trait) => [successes.idOf(service, trait), { ...trait, writingMs }] as const)
        .sort(([left], [right]) => successes.ownCount(left) - successes.ownCount(right))
        .slice(0, maxTraitsPerRequest);
      const named: ReadonlyMap<Fingerprint, SharedInCrash> = new Map(traits);
      const common = { target, service, at: now, targetsInUse };
      const crash = { ...common, requests: new Set([request]), shared: named };
      if (!addCrash(state, crash, now)) return;
      successes.reportTraits(named.keys());
      notifyChange();
    },
    recordServed(attributes, beganAfterMs) {
      const { service, shared = [] } = attributes;
      if (beganAfterMs !== undefined) exposures.record(service, beganAfterMs);
      const traits = shared.map((trait) => successes.recordTrait(service, trait));
      if (state.crashes.size === 0) return;
      const requestNews = successes.recordRequest(attributes.request);
      const traitNews = successes.reportTraits(traits);
      // Higher counts go with the next regular heartbeat.
      if (requestNews === "first" || traitNews === "first") notifyChange();
    },
    heldRequests: () => [...state.held.values()].filter(({ held }) => held),
    release(request) {
      const heldRequest = state.held.get(request);
      if (!heldRequest?.held) return false;
      // Boxes that take every success for a release learn of it in this way.
      addServed(state, request, self, { count: 1, at: clock.now() });
      const revision = heldRequest.revision + 1;
      decide({ ...heldRequest, revision, held: false, since: clock.wallTime() });
      return true;
    },
    restore: (heldRequest) => void addHeldRequest(state, heldRequest, clock.now()),
    changesSince: (sequence, recipient) => ({
      number: state.changes.lastSequence(),
      records: recordsSince(state, sequence, clock.now(), recipient),
    }),
    applyChanges(from, changes) {
      const now = clock.now();
      for (const record of changes.records)
        applyRecord(state, record, now, { from, idOf: successes.idOf });
      applied.record(from, changes.number);
      const traitNews = successes.reportTraits(changes.records.flatMap(traitsOf));
      const requests = changes.records.flatMap((record) =>
        record.kind === "end" ? record.requests : [],
      );
      if (traitNews !== "none" || successes.hasUnsentRequest(requests)) notifyChange();
    },
    appliedSequence: applied.latestFrom,
    onChange: (listener) => void changeListeners.push(listener),
    onDecision: (listener) => void decisionListeners.push(listener),
  };
}
