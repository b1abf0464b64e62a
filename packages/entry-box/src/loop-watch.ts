/**
 * Watches how far the event loop is behind, by how late timers fire. A loop that is held up reads nothing: requests, answers and
 * the ends of connections wait. The watch has no timer of its own, since each wake-up costs a small box.
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

/** Shorter delays are usual, and counting each would cost more than it tells. */
const minRecordedDelayMs: Milliseconds = 20;
/** A delay that callers notice: it is a third of the shortest objectives, of 300 ms. */
const minLoggedDelayMs: Milliseconds = 100;

/** Returns the clock with a watch on its timers. Each hold-up is logged once, whatever number of timers it delays. */
export function monitorEventLoop({ clock, logger, metrics }: EventLoopMonitorOptions): Clock {
  let toldAt: Milliseconds = -Infinity;

  const note = (dueAt: Milliseconds) => {
    const now = clock.now();
    const delayMs = Math.round(now - dueAt);
    if (delayMs < minRecordedDelayMs) return;
    metrics.observe(
      "linkfall_loop_delay_ms",
      "How late timers of the event loop fired, from 20 ms on.",
      delayMs,
    );
    if (delayMs < minLoggedDelayMs || dueAt <= toldAt) return;
    toldAt = now;
    logger.event("loopHeldUp", { delayMs });
  };

  return {
    now: clock.now,
    elapsed: clock.elapsed,
    wallTime: clock.wallTime,
    after(delay, action) {
      const dueAt = clock.now() + delay;
      return clock.after(delay, () => {
        note(dueAt);
        action();
      });
    },
  };
}
