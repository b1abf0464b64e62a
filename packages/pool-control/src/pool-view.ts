/** Builds the planner's view of a pool. */
import { settingsName } from "@linkfall/config";
import { demandShares } from "@linkfall/demand-meter";
import { clockName, type Kernel } from "@linkfall/kernel";
import { computeLedgers } from "@linkfall/ledger";
import type { EngineView, ModelView, PoolView } from "@linkfall/placement";
import { stateStoreName } from "@linkfall/state-store";
import { targetWatchName, type EngineReportRecord } from "@linkfall/target-watch";
import type { Engine } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";
import type { Fences } from "./fences.js";
import type { PoolContext } from "./pool-context.js";

/** Smoothing weights of a report: utilisation rises quickly and falls slowly. */
const risingWeight = 0.5;
const fallingWeight = 0.1;

export interface PoolViewBuilder {
  /**
   * Returns the current state of the pool.
   *
   * @param demandMoveBudget demand-driven moves that the rate limit still allows
   * @param isCoolingDown whether a model's replicas were moved too recently
   */
  build(demandMoveBudget: number, isCoolingDown: (model: string) => boolean): PoolView;
  /** Updates the utilisation from a report of one of the pool's engines. */
  handleReport(watched: EngineReportRecord): void;
}

/** Creates the view builder of a session. */
export function createPoolViewBuilder(
  kernel: Kernel,
  context: PoolContext,
  fences: Fences,
): PoolViewBuilder {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const watch = kernel.find(targetWatchName);
  const usage = kernel.find(usageReportsName);
  const settings = kernel.find(settingsName).targets;
  const utilisation = new Map<string, number>();

  const unreportedEngineView = (engine: Engine): EngineView => ({
    engine,
    accelerators: [],
    role: engine.role,
    roleChangePending: false,
    acceptsOrders: false,
    available: false,
    utilisation: 0,
  });

  const engineViewOf = (engine: Engine): EngineView => {
    const watched = context.reportOf(engine.name);
    if (!watched) return unreportedEngineView(engine);
    const openOrders = context.openOrdersOf(engine.name);
    const silentMs = clock.now() - watched.receivedAt;
    const mayOrder = engine.fenced ? fences.isRaisedOn(engine) : context.isLeaseValid();
    const leaving = watch.isLeaving(engine);
    return {
      engine,
      accelerators: computeLedgers(engine, watched.report, openOrders),
      role: watched.report.role,
      roleChangePending: openOrders.some((order) => order.kind === "role"),
      acceptsOrders: silentMs <= settings.report_stale_ms && mayOrder && !leaving,
      available: silentMs <= settings.silent_lost_ms && !leaving,
      utilisation: utilisation.get(engine.name) ?? 0,
    };
  };

  const modelViews = (isCoolingDown: (model: string) => boolean): readonly ModelView[] => {
    const desired = store.desired();
    const shares = demandShares(usage.demand());
    const adapters = [...desired.adapters.values()];
    return [...desired.models.values()]
      .filter((model) => model.pool === context.lease.pool)
      .map((model) => ({
        model,
        adapters: adapters.filter((adapter) => adapter.model === model.name),
        demandShare: shares.get(model.name) ?? 0,
        coolingDown: isCoolingDown(model.name),
      }));
  };

  return {
    build(demandMoveBudget, isCoolingDown) {
      const { attainmentWeight, movesWeight } = store.desired().deployment;
      const engines = context.engines().map(engineViewOf);
      // Engines that are not available hold no serving replicas to protect, which is why their
      // fences are not awaited.
      const mayUnload = engines.every((view) => !view.available || fences.isSafe(view.engine));
      return {
        engines,
        models: modelViews(isCoolingDown),
        limits: { attainmentWeight, movesWeight, mayUnload, demandMoveBudget },
      };
    },
    handleReport({ report }) {
      const engine = context.engineNamed(report.engine);
      if (engine?.pool !== context.lease.pool) return;
      const current = (report.running + report.queued) / engine.concurrency;
      const previous = utilisation.get(report.engine) ?? current;
      const weight = current > previous ? risingWeight : fallingWeight;
      utilisation.set(report.engine, previous + weight * (current - previous));
    },
  };
}
