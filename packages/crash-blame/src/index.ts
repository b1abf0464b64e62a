/**
 * Finds requests that end the targets that run them, by what all boxes have lost, and holds them back: such a
 * request returns at any box, and without a memory that all share it takes target after target with all their work.
 */
import { createFollowedNews } from "@linkfall/followed-news";
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
export { createHeldStore, type HeldStore } from "./held-store.js";
export { settleMs, type Verdict } from "./judge.js";
export { reportDecisions } from "./report-decisions.js";
export { heldRequestsPath } from "./words.js";

/** A request as operators are told of it. */
export interface RequestFacts {
  readonly request: Fingerprint;
  readonly service: string;
  readonly route: string;
  readonly account?: string;
}

export interface CrashBlame {
  /** Whether nothing speaks against any request, so that no fingerprint is needed. */
  quiet(): boolean;
  /** What to make of a request; one that is found guilty here is held back from then on. */
  judge(facts: RequestFacts, targets: number): Verdict;
  /** Notes that a target ended while it ran the request. */
  targetEnded(target: string, { request, service }: RequestFacts): void;
  /** Notes that the request was answered well: nothing before counts against it. */
  served(request: Fingerprint): void;
  /** Requests that are held back. */
  held(): readonly HeldRequest[];
  /** Lets a request through again; false where it is not held back. */
  release(request: Fingerprint): boolean;
  /** Takes a word that was kept for boxes that start. */
  takeKept(word: HeldRequest): void;
  /** What another box lacks that has followed this one to `number`. */
  tell(number: number): BlameMessage;
  /** Takes the word of another box. */
  take(from: Incarnation, word: BlameMessage): void;
  /** How far this box has followed another one. */
  followed(other: Incarnation): number;
  /** Calls the listener when this box has found something to tell. */
  onNews(listener: () => void): void;
  /** Calls the listener with each word that this box has decided on itself. */
  onDecided(listener: (word: HeldRequest) => void): void;
}

export const crashBlameName = serviceName<CrashBlame>("crash-blame");

/** Creates a book in which nothing is known. */
export function createCrashBlame(clock: Clock): CrashBlame {
  const state = createBlameState();
  const followed = createFollowedNews();
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

  const hold = (facts: RequestFacts) => {
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
    quiet: () => state.ends.length === 0 && state.held.size === 0,
    judge(facts, targets) {
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
    targetEnded(target, { request, service }) {
      const now = clock.now();
      const end = { target, service, at: now, requests: new Set([request]) };
      if (takeEnd(state, end, now)) tellNews();
    },
    served(request) {
      if (takeServed(state, request, clock.now())) tellNews();
    },
    held: () => [...state.held.values()].map(({ value }) => value).filter(({ held }) => held),
    release(request) {
      const word = state.held.get(request)?.value;
      if (!word?.held) return false;
      // What it did before is forgiven: its targets may have been mended.
      takeServed(state, request, clock.now());
      decide({ ...word, revision: word.revision + 1, held: false, since: clock.wallTime() });
      return true;
    },
    takeKept: (word) => void takeHeld(state, word),
    tell: (number) => ({
      number: state.newest,
      records: recordsAfter(state, number, clock.now()),
    }),
    take(from, word) {
      const now = clock.now();
      for (const record of word.records) takeRecord(state, record, now);
      followed.note(from, word.number);
    },
    followed: followed.of,
    onNews: (listener) => void newsListeners.push(listener),
    onDecided: (listener) => void decidedListeners.push(listener),
  };
}
