/**
 * Estimates how long connections wait in the listen queue. Node.js accepts one connection per iteration of the event loop, so
 * a connection accepted in consecutive iterations may have waited for the ones before it.
 */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";

export interface AcceptQueueMonitor {
  /** Records that a connection was accepted. */
  connectionAccepted(): void;
}

export interface AcceptQueueMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Iterations of the event loop since the process started. */
  loopIterations(): number;
}

/** Connections accepted in consecutive iterations of the event loop. */
interface AcceptBurst {
  readonly startedAt: Milliseconds;
  lastAcceptedAt: Milliseconds;
  lastIteration: number;
  connections: number;
  /** Shortest wait to log next; doubles with each logged line. */
  logThresholdMs: Milliseconds;
}

/** Well below one second, after which callers abandon an unread request. */
const minLoggedWaitMs: Milliseconds = 250;

/** Creates a monitor that records metrics and logs long waits. */
export function createAcceptQueueMonitor({
  clock,
  logger,
  metrics,
  loopIterations,
}: AcceptQueueMonitorOptions): AcceptQueueMonitor {
  let burst: AcceptBurst | undefined;

  const logLongWait = (current: AcceptBurst, waitedMs: Milliseconds) => {
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
      const iteration = loopIterations();
      if (burst === undefined || iteration > burst.lastIteration + 1) {
        burst = {
          startedAt: now,
          lastAcceptedAt: now,
          lastIteration: iteration,
          connections: 1,
          logThresholdMs: minLoggedWaitMs,
        };
        return;
      }
      const iterationMs = now - burst.lastAcceptedAt;
      const waitedMs = now - burst.startedAt;
      burst.lastAcceptedAt = now;
      burst.lastIteration = iteration;
      burst.connections += 1;
      metrics.observe(
        "linkfall_accept_turn_ms",
        "Duration of an event loop iteration that accepted a connection right after another one.",
        Math.round(iterationMs),
      );
      metrics.observe(
        "linkfall_connection_wait_ms",
        "Upper bound of a connection's wait in the listen queue behind earlier connections.",
        Math.round(waitedMs),
      );
      logLongWait(burst, waitedMs);
    },
  };
}
