/**
 * Finds requests that end the targets that run them, by what all boxes have lost, and holds them back: such a
 * request returns at any box, and without a memory that all share it takes target after target with all their work.
 */
import { createReceivedUpdates } from "@linkfall/followed-news";
import { type Clock, serviceName } from "@linkfall/kernel";
import type { BlameMessage, Fingerprint, HeldRequest, Incarnation } from "@linkfall/types";
import {
  createBlameState,
  isSuspect,
  openEnds,
  recordsAfter,
  takeEnd,
  takeHeld,
  takeRecord,
  takeServed,
} from "./blame-state.js";
import { judge, type Verdict } from "./judge.js";

export { heldRequestSchema } from "./held-request-schema.js";
export { createHeldRequestStore, type HeldRequestStore } from "./held-store.js";
export { settlingMs, type Verdict } from "./judge.js";
export { reportDecisions } from "./report-decisions.js";
export { heldRequestsPath } from "./target-crash.js";

/** A request as operators are told of it. */
export interface RequestAttributes {
  readonly request: Fingerprint;
  readonly service: string;
  readonly route: string;
  readonly account?: string;
}

export interface CrashBlame {
  /** Whether nothing speaks against any request, so that no fingerprint is needed. */
  isEmpty(): boolean;
  /** What to make of a request; one that is found guilty here is held back from then on. */
  classify(facts: RequestAttributes, targets: number): Verdict;
  /** Notes that a target ended while it ran the request. */
  recordCrash(target: string, { request, service }: RequestAttributes): void;
  /** Notes that the request was answered well: nothing before counts against it. */
  recordServed(request: Fingerprint): void;
  /** Requests that are held back. */
  heldRequests(): readonly HeldRequest[];
  /** Lets a request through again; false where it is not held back. */
  release(request: Fingerprint): boolean;
  /** Takes a word that was kept for boxes that start. */
  restore(word: HeldRequest): void;
  /** What another box lacks that has followed this one to `number`. */
  changesSince(number: number): BlameMessage;
  /** Takes the word of another box. */
  applyChanges(from: Incarnation, word: BlameMessage): void;
  /** How far this box has followed another one. */
  appliedSequence(other: Incarnation): number;
  /** Calls the listener when this box has found something to tell. */
  onChange(listener: () => void): void;
  /** Calls the listener with each word that this box has decided on itself. */
  onDecision(listener: (word: HeldRequest) => void): void;
}

export const crashBlameName = serviceName<CrashBlame>("crash-blame");

/** Creates a book in which nothing is known. */
export function createCrashBlame(clock: Clock): CrashBlame {
  const state = createBlameState();
  const followed = createReceivedUpdates();
  const newsListeners: (() => void)[] = [];
  const decidedListeners: ((word: HeldRequest) => void)[] = [];

  const tellNews = () => {
    for (const listener of newsListeners) listener();
  };
  const decide = (word: HeldRequest) => {
    takeHeld(state, word);
    for (const listener of decidedListeners) listener(word);
    tellNews();
  };
  const isHeld = (request: Fingerprint) => state.held.get(request)?.value.held === true;

  const hold = (facts: RequestAttributes) => {
    const ends = openEnds(state, facts.request).filter((end) => end.requests.has(facts.request));
    decide({
      ...facts,
      revision: (state.held.get(facts.request)?.value.revision ?? 0) + 1,
      held: true,
      targets: ends.map(({ target }) => target),
      since: clock.wallTime(),
    });
  };

  return {
    isEmpty: () => state.ends.length === 0 && state.held.size === 0,
    classify(facts, targets) {
      const { request } = facts;
      if (isHeld(request)) return "guilty";
      if (!isSuspect(state, request)) return "clear";
      const verdict = judge({
        request,
        ends: openEnds(state, request),
        targets,
        now: clock.now(),
      });
      if (verdict === "guilty") hold(facts);
      return verdict;
    },
    recordCrash(target, { request, service }) {
      const now = clock.now();
      const end = { target, service, at: now, requests: new Set([request]) };
      if (takeEnd(state, end, now)) tellNews();
    },
    recordServed(request) {
      if (takeServed(state, request, clock.now())) tellNews();
    },
    heldRequests: () =>
      [...state.held.values()].map(({ value }) => value).filter(({ held }) => held),
    release(request) {
      const word = state.held.get(request)?.value;
      if (!word?.held) return false;
      // What it did before is forgiven: its targets may have been mended.
      takeServed(state, request, clock.now());
      decide({ ...word, revision: word.revision + 1, held: false, since: clock.wallTime() });
      return true;
    },
    restore: (word) => void takeHeld(state, word),
    changesSince: (number) => ({
      number: state.newest,
      records: recordsAfter(state, number, clock.now()),
    }),
    applyChanges(from, word) {
      const now = clock.now();
      for (const record of word.records) takeRecord(state, record, now);
      followed.record(from, word.number);
    },
    appliedSequence: followed.latestFrom,
    onChange: (listener) => void newsListeners.push(listener),
    onDecision: (listener) => void decidedListeners.push(listener),
  };
}
