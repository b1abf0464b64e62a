/**
 * Measures the lag of the event loop by how late the box's timers fire. While the loop is blocked, no requests or responses
 * are read. The monitor has no timer of its own, which would wake an idle process.
 */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";

export interface EventLoopMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Shorter delays are normal and not worth the cost of recording. */
const minRecordedDelayMs: Milliseconds = 20;
/** Timers of an idle event loop are up to a few milliseconds late. */
const minCountedDelayMs: Milliseconds = 5;
/** A third of the shortest latency objective, which is 300 ms. */
const minLoggedDelayMs: Milliseconds = 100;

export interface MonitoredClock extends Clock {
  /** Total time for which the event loop was blocked so far, as far as timers were late. */
  heldUpMs(): Milliseconds;
}

/** Wraps a clock and monitors its timers. Each blocked period is logged once, regardless of how many timers it delays. */
export function monitorEventLoop({
  clock,
  logger,
  metrics,
}: EventLoopMonitorOptions): MonitoredClock {
  let lastLoggedAt: Milliseconds = -Infinity;

  let heldUpMs: Milliseconds = 0;
  let heldUpUntil: Milliseconds = -Infinity;

  /** Counts a blocked period once, regardless of how many timers it delays. */
  const countHeldUp = (dueAt: Milliseconds, now: Milliseconds) => {
    if (now - dueAt < minCountedDelayMs) return;
    heldUpMs += now - Math.max(dueAt, heldUpUntil);
    heldUpUntil = now;
  };
  const recordDelay = (dueAt: Milliseconds) => {
    const now = clock.now();
    countHeldUp(dueAt, now);
    const delayMs = Math.round(now - dueAt);
    if (delayMs < minRecordedDelayMs) return;
    metrics.observe(
      "linkfall_loop_delay_ms",
      "Delay of late event loop timers; delays under 20 ms are not recorded.",
      delayMs,
    );
    if (delayMs < minLoggedDelayMs || dueAt <= lastLoggedAt) return;
    lastLoggedAt = now;
    logger.event("loopHeldUp", { delayMs });
  };

  return {
    now: clock.now,
    elapsed: clock.elapsed,
    wallTime: clock.wallTime,
    heldUpMs: () => heldUpMs,
    after(delay, action) {
      const dueAt = clock.now() + delay;
      return clock.after(delay, () => {
        recordDelay(dueAt);
        action();
      });
    },
  };
}
