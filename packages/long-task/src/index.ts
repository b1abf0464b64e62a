/** Times tasks that run whole in one iteration of the event loop, in which a process reads nothing and accepts no connection. */
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";

export interface TaskReporters {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Tasks that are timed; each is a label of the metrics. */
export type TaskName =
  | "poll engines"
  | "advance moves"
  | "plan moves"
  | "apply engine state"
  | "create heartbeat"
  | "apply heartbeat"
  | "apply configuration"
  | "apply target list";

/** The length from which the W3C's Long Tasks API takes a task for long. */
const longTaskMs: Milliseconds = 50;

/** Runs a task and returns its result; a long one is logged and counted. */
export function timeTask<T>(
  { clock, logger, metrics }: TaskReporters,
  task: TaskName,
  run: () => T,
): T {
  const startedAt = clock.now();
  const result = run();
  const tookMs = clock.now() - startedAt;
  if (tookMs < longTaskMs) return result;
  const ms = Math.round(tookMs);
  metrics.count(
    "linkfall_long_tasks_total",
    "Tasks that blocked the event loop for 50 ms or more.",
    {
      task,
    },
  );
  metrics.count(
    "linkfall_long_task_ms_total",
    "Time for which tasks of 50 ms or more blocked the event loop.",
    { task },
    ms,
  );
  logger.event("longTask", { task, ms });
  return result;
}
