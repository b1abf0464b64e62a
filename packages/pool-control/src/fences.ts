/**
 * Raises the fence of a session on the pool's engines, which makes them reject orders of earlier
 * epochs.
 */
import { clockName, type Kernel } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { enginePortName } from "@linkfall/ports";
import { targetWatchName } from "@linkfall/target-watch";
import type { Engine } from "@linkfall/types";
import type { PoolContext } from "./pool-context.js";

export interface Fences {
  /** Raises the fence where it is missing, and processes the reports in the responses. */
  raise(): Promise<void>;
  isRaisedOn(engine: Engine): boolean;
  /** Returns whether no unknown order of another lease holder can take effect on the engine. */
  isSafe(engine: Engine): boolean;
  isRaisedEverywhere(): boolean;
  /** Records that an engine rejected this session's epoch. */
  invalidate(engine: string): void;
}

/** Creates the fences of a session, none of which is raised yet. */
export function createFences(kernel: Kernel, context: PoolContext): Fences {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const port = kernel.find(enginePortName);
  const watch = kernel.find(targetWatchName);
  const { lease } = context;
  /** Incarnation of each engine on which the fence is raised; a restart removes it. */
  const raisedIncarnations = new Map<string, string>();
  let wasRaisedEverywhere = false;

  const isRaisedOn = (engine: Engine) => {
    const report = context.reportOf(engine.name)?.report;
    return (
      report !== undefined &&
      raisedIncarnations.get(engine.name) === report.engineIncarnation &&
      report.fence >= lease.epoch
    );
  };
  const isSafe = (engine: Engine) => !engine.fenced || isRaisedOn(engine);
  const isRaisedEverywhere = () => context.engines().every(isSafe);

  const raiseOn = async (engine: Engine) => {
    const requestedAt = clock.now();
    const response = await port.raiseFence(engine.address, lease.epoch);
    response.ifRight((report) => {
      if (report.engine !== engine.name || report.fence !== lease.epoch) return;
      raisedIncarnations.set(engine.name, report.engineIncarnation);
      watch.ingest(report, requestedAt, "read");
    });
  };

  return {
    async raise() {
      const missing = context.engines().filter((engine) => !isSafe(engine));
      await Promise.all(missing.map(raiseOn));
      const isComplete = isRaisedEverywhere();
      if (isComplete && !wasRaisedEverywhere) {
        logger.event("fenceStands", { pool: lease.pool, epoch: lease.epoch });
      }
      wasRaisedEverywhere = isComplete;
    },
    isRaisedOn,
    isSafe,
    isRaisedEverywhere,
    invalidate: (engine) => void raisedIncarnations.delete(engine),
  };
}
