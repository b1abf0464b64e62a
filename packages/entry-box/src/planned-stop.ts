/** The course of a planned stop: leave the answers, serve on until callers have moved, then end. */
import type { EntrySettings } from "@linkfall/entry-settings";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Front } from "./front.js";

export interface PlannedStop {
  begin(): void;
  begun(): boolean;
  /** Whether a request that needs about `objectiveMs` can still end before the process must. */
  takes(objectiveMs: Milliseconds): boolean;
  /** Resolves when the process may end. */
  finish(front: Front): Promise<void>;
}

/** Kept back of the grace for the process's own end. */
const reserveMs: Milliseconds = 500;
const stepMs: Milliseconds = 50;
/** Some callers keep an answer of the directory this many times as long as they are told. */
const lateCallers = 3;

export function createPlannedStop(clock: Clock, settings: EntrySettings): PlannedStop {
  let beganAt: Milliseconds | undefined;
  const lifetimeMs = settings.callers.entries_lifetime_ms;
  const lastMs = settings.stop.grace_ms - reserveMs;
  const sinceMs = () => (beganAt === undefined ? 0 : clock.now() - beganAt);
  return {
    begin() {
      beganAt ??= clock.now();
    },
    begun: () => beganAt !== undefined,
    takes: (objectiveMs) => beganAt === undefined || lastMs - sinceMs() > objectiveMs * 2,
    async finish(front) {
      // Callers that were told of this address may connect until their answer has run out.
      const listenMs = Math.min(lifetimeMs * lateCallers, lastMs / 2);
      while (sinceMs() < listenMs && (sinceMs() < lifetimeMs || front.quietMs() < lifetimeMs)) {
        await sleep(clock, stepMs);
      }
      front.close();
      while (front.open() > 0 && sinceMs() < lastMs) await sleep(clock, stepMs);
    },
  };
}
