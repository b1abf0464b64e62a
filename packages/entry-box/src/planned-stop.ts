/** Graceful shutdown: the box is no longer advertised, serves until callers have moved away, then exits. */
import type { EntrySettings } from "@linkfall/entry-settings";
import { type Clock, sleep } from "@linkfall/kernel";
import type { ForwardContext } from "@linkfall/forwarding";
import type { Milliseconds } from "@linkfall/types";
import type { Front } from "./front.js";

export interface GracefulShutdown {
  /** Starts the grace period; further calls have no effect. */
  begin(): void;
  hasBegun(): boolean;
  /** Whether a request that is sent now can still finish before the process has to exit. */
  readonly accepts: ForwardContext["acceptsRequest"];
  /** Resolves when the work is done, or when the grace period leaves no time to wait for it. */
  within(work: Promise<void>): Promise<void>;
  /** Resolves when no request is open, or when there is no time left to wait for the others; the process may exit then. */
  finish(draining: DrainingBox): Promise<void>;
}

/** What a box that shuts down gracefully has to end. */
export interface DrainingBox {
  readonly front: Pick<Front, "idleMs" | "readArrived" | "close" | "cutOpenRequests">;
  /** Number of requests of callers, and of other boxes, without a complete response. */
  openRequests(): number;
  /** Hands over what other boxes need to go on. */
  handOver(): Promise<void>;
  /** Called before requests are cut because there is no time left. */
  onCut(): void;
}

/** Part of the grace period reserved for the process to exit. */
const exitReserveMs: Milliseconds = 500;
/** Time before it in which callers take the last responses. */
const lastResponsesMs: Milliseconds = 200;
const pollMs: Milliseconds = 50;
/** Some callers cache addresses this many times longer than their lifetime. */
const staleAddressFactor = 3;
/** Few requests take longer than this many times their route's objective. */
const maxObjectivesPerAnswer = 2;
/**
 * Requests whose time limit is behind the end of the grace period are accepted in this first fraction of it only: most of them
 * finish long before their time limit, but not in any time that the objective tells.
 */
const openEndedAdmissionFraction = 0.3;

export function createGracefulShutdown(
  clock: Clock,
  settings: Pick<EntrySettings, "callers" | "stop">,
): GracefulShutdown {
  let beganAt: Milliseconds | undefined;
  const lifetimeMs = settings.callers.entries_lifetime_ms;
  const graceMs = settings.stop.grace_ms;
  const finishMs = graceMs - exitReserveMs - lastResponsesMs;
  const elapsedMs = () => (beganAt === undefined ? 0 : clock.now() - beganAt);
  const within = (work: Promise<void>) =>
    Promise.race([work, sleep(clock, Math.max(pollMs, finishMs - elapsedMs()))]);
  return {
    begin() {
      beganAt ??= clock.now();
    },
    hasBegun: () => beganAt !== undefined,
    accepts({ route, deadlineAt }) {
      if (beganAt === undefined || deadlineAt <= beganAt + finishMs) return true;
      if (elapsedMs() > graceMs * openEndedAdmissionFraction) return false;
      return finishMs - elapsedMs() > route.objectiveMs * maxObjectivesPerAnswer;
    },
    within,
    async finish({ front, openRequests, handOver, onCut }) {
      // Callers that cached this address may still connect until it expires.
      const listenMs = Math.min(lifetimeMs * staleAddressFactor, finishMs / 2);
      while (elapsedMs() < listenMs && (elapsedMs() < lifetimeMs || front.idleMs() < lifetimeMs)) {
        await sleep(clock, pollMs);
      }
      await within(front.close());
      const waitForRequests = async (untilMs: Milliseconds) => {
        while (openRequests() > 0 && elapsedMs() < untilMs) await sleep(clock, pollMs);
      };
      // Connections that are open and have sent nothing yet may send a request while others are told.
      do {
        await waitForRequests(finishMs);
        await within(handOver());
        await front.readArrived();
      } while (openRequests() > 0 && elapsedMs() < finishMs);
      if (openRequests() === 0) return;
      onCut();
      const lastResponsesUntilMs = elapsedMs() + lastResponsesMs;
      const endOpenRequests = async () => {
        front.cutOpenRequests();
        await waitForRequests(lastResponsesUntilMs);
      };
      await endOpenRequests();
      // What has arrived since then is answered before its connection is closed.
      await front.readArrived();
      await endOpenRequests();
    },
  };
}
