/** Shows the planner the pool as this session sees it. */
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

/** Weight of one report in an engine's smoothed utilisation: it rises at once and falls slowly. */
const risingWeight = 0.5;
const fallingWeight = 0.1;

export interface PoolViewBuilder {
  /**
   * The pool now.
   *
   * @param spareMoves moves of spare replicas that the rate limit still allows
   * @param coolingDown whether a model's spare replicas were moved too short a time ago
   */
  build(spareMoves: number, coolingDown: (model: string) => boolean): PoolView;
  /** Takes a report of one of the pool's engines. */
  handleReport(watched: EngineReportRecord): void;
}

/** Creates the viewer of a session. */
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

  const unseen = (engine: Engine): EngineView => ({
    engine,
    accelerators: [],
    role: engine.role,
    roleChangePending: false,
    acceptsOrders: false,
    available: false,
    utilisation: 0,
  });

  const viewOf = (engine: Engine): EngineView => {
    const watched = context.reportOf(engine.name);
    if (!watched) return unseen(engine);
    const open = context.openOrdersOf(engine.name);
    const silentMs = clock.now() - watched.receivedAt;
    const mayOrder = engine.fenced ? fences.isRaisedOn(engine) : context.isLeaseValid();
    const leaving = watch.isLeaving(engine);
    return {
      engine,
      accelerators: computeLedgers(engine, watched.report, open),
      role: watched.report.role,
      roleChangePending: open.some((order) => order.kind === "role"),
      acceptsOrders: silentMs <= settings.report_stale_ms && mayOrder && !leaving,
      available: silentMs <= settings.silent_lost_ms && !leaving,
      utilisation: utilisation.get(engine.name) ?? 0,
    };
  };

  const modelViews = (coolingDown: (model: string) => boolean): readonly ModelView[] => {
    const desired = store.desired();
    const shares = demandShares(usage.demand());
    const adapters = [...desired.adapters.values()];
    return [...desired.models.values()]
      .filter((model) => model.pool === context.lease.pool)
      .map((model) => ({
        model,
        adapters: adapters.filter((adapter) => adapter.model === model.name),
        demandShare: shares.get(model.name) ?? 0,
        coolingDown: coolingDown(model.name),
      }));
  };

  return {
    build(spareMoves, coolingDown) {
      const { attainmentWeight, movesWeight } = store.desired().deployment;
      const engines = context.engines().map(viewOf);
      // Replicas on an engine that does not count protect nothing, so its fence is not waited for.
      const mayUnload = engines.every((view) => !view.available || fences.isSafe(view.engine));
      return {
        engines,
        models: modelViews(coolingDown),
        limits: { attainmentWeight, movesWeight, mayUnload, demandMoveBudget: spareMoves },
      };
    },
    handleReport({ report }) {
      const engine = context.engineNamed(report.engine);
      if (engine?.pool !== context.lease.pool) return;
      const now = (report.running + report.queued) / engine.concurrency;
      const before = utilisation.get(report.engine) ?? now;
      const step = now > before ? risingWeight : fallingWeight;
      utilisation.set(report.engine, before + step * (now - before));
    },
  };
}
