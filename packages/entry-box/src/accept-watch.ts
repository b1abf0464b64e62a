/**
 * Watches how connections come out of the listen queue. The runtime takes one connection in each turn of its event loop, so
 * connections that are taken in turns that follow each other have waited for those before them.
 */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";

export interface AcceptQueueMonitor {
  /** Notes that a connection was taken. */
  connectionAccepted(): void;
}

export interface AcceptQueueMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Turns of the event loop since the process began. */
  loopIterations(): number;
}

/** Connections that were taken one a turn, without a turn between them. */
interface AcceptBurst {
  readonly startedAt: Milliseconds;
  lastAcceptedAt: Milliseconds;
  lastIteration: number;
  connections: number;
  /** A wait that is told next; each line doubles it. */
  logThresholdMs: Milliseconds;
}

/** A wait that callers notice: they give up what is unread after a second, or sooner. */
const minLoggedWaitMs: Milliseconds = 250;

/** Creates a watch. */
export function createAcceptQueueMonitor({
  clock,
  logger,
  metrics,
  loopIterations: loopTurns,
}: AcceptQueueMonitorOptions): AcceptQueueMonitor {
  let run: AcceptBurst | undefined;

  const tell = (current: AcceptBurst, waitedMs: Milliseconds) => {
    if (waitedMs < current.logThresholdMs) return;
    current.logThresholdMs = waitedMs * 2;
    logger.event("connectionsWaited", {
      connections: current.connections,
      waitedMs: Math.round(waitedMs),
    });
  };

  return {
    connectionAccepted() {
      const now = clock.now();
      const turn = loopTurns();
      if (run === undefined || turn > run.lastIteration + 1) {
        run = {
          startedAt: now,
          lastAcceptedAt: now,
          lastIteration: turn,
          connections: 1,
          logThresholdMs: minLoggedWaitMs,
        };
        return;
      }
      const turnMs = now - run.lastAcceptedAt;
      const waitedMs = now - run.startedAt;
      run.lastAcceptedAt = now;
      run.lastIteration = turn;
      run.connections += 1;
      metrics.observe(
        "linkfall_accept_turn_ms",
        "Length of a turn of the event loop that took a connection after one that did.",
        Math.round(turnMs),
      );
      metrics.observe(
        "linkfall_connection_wait_ms",
        "How long a connection may have waited in the listen queue for those before it.",
        Math.round(waitedMs),
      );
      tell(run, waitedMs);
    },
  };
}
