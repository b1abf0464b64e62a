/** Raises this session's fence on the pool's engines. */
import { clockName, type Kernel } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { enginePortName } from "@linkfall/ports";
import { targetWatchName } from "@linkfall/target-watch";
import type { Engine } from "@linkfall/types";
import type { PoolContext } from "./pool-context.js";

export interface Fences {
  /** Raises the fence wherever it does not stand, and takes in what the engines answer. */
  raise(): Promise<void>;
  isRaisedOn(engine: Engine): boolean;
  /** Whether no order of another holder that this session does not know can take effect there. */
  isSafe(engine: Engine): boolean;
  isRaisedEverywhere(): boolean;
  /** Notes that an engine refused this session's epoch. */
  invalidate(engine: string): void;
}

/** Creates the fences of a session; none stands yet. */
export function createFences(kernel: Kernel, context: PoolContext): Fences {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const port = kernel.find(enginePortName);
  const watch = kernel.find(targetWatchName);
  const { lease } = context;
  /** The start of each engine on which the fence stands; a restart takes it away. */
  const raisedOn = new Map<string, string>();
  let stood = false;

  const standsOn = (engine: Engine) => {
    const report = context.reportOf(engine.name)?.report;
    return (
      report !== undefined &&
      raisedOn.get(engine.name) === report.engineIncarnation &&
      report.fence >= lease.epoch
    );
  };
  const isSafe = (engine: Engine) => !engine.fenced || standsOn(engine);
  const standsEverywhere = () => context.engines().every(isSafe);

  const raiseOn = async (engine: Engine) => {
    const requestedAt = clock.now();
    const raised = await port.raiseFence(engine.address, lease.epoch);
    raised.ifRight((report) => {
      if (report.engine !== engine.name || report.fence !== lease.epoch) return;
      raisedOn.set(engine.name, report.engineIncarnation);
      watch.ingest(report, requestedAt, "read");
    });
  };

  return {
    async raise() {
      const missing = context.engines().filter((engine) => !isSafe(engine));
      await Promise.all(missing.map(raiseOn));
      const stands = standsEverywhere();
      if (stands && !stood) {
        logger.event("fenceStands", { pool: lease.pool, epoch: lease.epoch });
      }
      stood = stands;
    },
    isRaisedOn: standsOn,
    isSafe,
    isRaisedEverywhere: standsEverywhere,
    invalidate: (engine) => void raisedOn.delete(engine),
  };
}
