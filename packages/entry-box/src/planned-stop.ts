/** Graceful shutdown: the box is no longer advertised, serves until callers have moved away, then exits. */
import type { EntrySettings } from "@linkfall/entry-settings";
import { type Clock, sleep } from "@linkfall/kernel";
import type { Milliseconds, Route } from "@linkfall/types";
import type { Front } from "./front.js";

export interface GracefulShutdown {
  /** Starts the grace period; further calls have no effect. */
  begin(): void;
  hasBegun(): boolean;
  /** Whether a request of the route can still finish before the process has to exit. */
  accepts(route: Pick<Route, "streaming" | "objectiveMs">): boolean;
  /** Resolves when the process may exit. */
  finish(front: Pick<Front, "idleMs" | "close">, openRequests: () => number): Promise<void>;
}

/** Part of the grace period reserved for the process to exit. */
const exitReserveMs: Milliseconds = 500;
const pollMs: Milliseconds = 50;
/** Some callers cache addresses this many times longer than their lifetime. */
const staleAddressFactor = 3;
/** A response without streaming is expected within this many times its route's objective. */
const maxObjectivesPerAnswer = 2;
/** Streams are accepted only in this first fraction of the grace period, since their objective covers only the first
 * event and their duration is unknown. */
const streamAdmissionFraction = 0.3;

export function createGracefulShutdown(
  clock: Clock,
  settings: Pick<EntrySettings, "callers" | "stop">,
): GracefulShutdown {
  let beganAt: Milliseconds | undefined;
  const lifetimeMs = settings.callers.entries_lifetime_ms;
  const graceMs = settings.stop.grace_ms;
  const finishMs = graceMs - exitReserveMs;
  const elapsedMs = () => (beganAt === undefined ? 0 : clock.now() - beganAt);
  return {
    begin() {
      beganAt ??= clock.now();
    },
    hasBegun: () => beganAt !== undefined,
    accepts({ streaming, objectiveMs }) {
      if (beganAt === undefined) return true;
      if (streaming && elapsedMs() > graceMs * streamAdmissionFraction) return false;
      return finishMs - elapsedMs() > objectiveMs * maxObjectivesPerAnswer;
    },
    async finish(front, openRequests) {
      // Callers that cached this address may still connect until it expires.
      const listenMs = Math.min(lifetimeMs * staleAddressFactor, finishMs / 2);
      while (elapsedMs() < listenMs && (elapsedMs() < lifetimeMs || front.idleMs() < lifetimeMs)) {
        await sleep(clock, pollMs);
      }
      front.close();
      while (openRequests() > 0 && elapsedMs() < finishMs) await sleep(clock, pollMs);
    },
  };
}
