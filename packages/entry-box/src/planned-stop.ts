/** The course of a planned stop: leave the answers, serve on until callers have moved, then end. */
import type { EntrySettings } from "@linkfall/entry-settings";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Milliseconds, Route } from "@linkfall/types";
import type { Front } from "./front.js";

export interface GracefulShutdown {
  begin(): void;
  hasBegun(): boolean;
  /** Whether a request of the route can still end before the process must. */
  accepts(route: Pick<Route, "streaming" | "objectiveMs">): boolean;
  /** Resolves when the process may end. */
  finish(front: Pick<Front, "quietMs" | "open" | "close">): Promise<void>;
}

/** Kept back of the grace for the process's own end. */
const exitReserveMs: Milliseconds = 500;
const pollIntervalMs: Milliseconds = 50;
/** Some callers keep an answer of the directory this many times as long as they are told. */
const staleAddressFactor = 3;
/** A whole answer is expected to take at most this many times its route's objective. */
const maxObjectivesPerAnswer = 2;
/** A stream's objective is about its first event: how long it goes on nobody knows beforehand. It is
 * begun only in this part of the grace, so that the rest is left for it. */
const streamAdmissionFraction = 0.3;

export function createGracefulShutdown(
  clock: Clock,
  settings: Pick<EntrySettings, "callers" | "stop">,
): GracefulShutdown {
  let beganAt: Milliseconds | undefined;
  const lifetimeMs = settings.callers.entries_lifetime_ms;
  const graceMs = settings.stop.grace_ms;
  const lastMs = graceMs - exitReserveMs;
  const sinceMs = () => (beganAt === undefined ? 0 : clock.now() - beganAt);
  return {
    begin() {
      beganAt ??= clock.now();
    },
    hasBegun: () => beganAt !== undefined,
    accepts({ streaming, objectiveMs }) {
      if (beganAt === undefined) return true;
      if (streaming && sinceMs() > graceMs * streamAdmissionFraction) return false;
      return lastMs - sinceMs() > objectiveMs * maxObjectivesPerAnswer;
    },
    async finish(front) {
      // Callers that were told of this address may connect until their answer has run out.
      const listenMs = Math.min(lifetimeMs * staleAddressFactor, lastMs / 2);
      while (sinceMs() < listenMs && (sinceMs() < lifetimeMs || front.idleMs() < lifetimeMs)) {
        await sleep(clock, pollIntervalMs);
      }
      front.close();
      while (front.openRequests() > 0 && sinceMs() < lastMs) await sleep(clock, pollIntervalMs);
    },
  };
}
