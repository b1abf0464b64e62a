/** Polls engines for their state, more often while a move is in progress. */
import type { TargetView } from "@linkfall/fleet";
import { timeTask } from "@linkfall/long-task";
import type { EngineState, Milliseconds } from "@linkfall/types";
import {
  type DispatcherContext,
  orderableEngines,
  pendingAdapterOrder,
} from "./dispatcher-context.js";
import { remainingMoveMs } from "./remaining-move-time.js";

/** Polls one engine unless a poll is already pending. */
export async function pollEngine(context: DispatcherContext, target: TargetView): Promise<void> {
  const { state, clock, fleet } = context;
  const { id } = target.listed;
  if (state.pendingPolls.has(id)) return;
  state.pendingPolls.add(id);
  const sentAt = clock.now();
  state.lastPolledAt.set(id, sentAt);
  const result = await context.engines.readState(target.listed);
  state.pendingPolls.delete(id);
  if (sentAt >= state.termStartedAt) state.polledInTerm.add(id);
  result.ifLeft((failure) => context.onEngineUnreachable(id, failure));
  // Ignores the response of an earlier incarnation of the target.
  if (fleet.find(id) !== target) return;
  const applyState = (engineState: EngineState) => {
    const previousSequence = target.holdings.sequence;
    fleet.applyState(id, engineState, clock.now() - sentAt);
    // Passes on the limit immediately; a report without a limit does not clear a known one.
    if (engineState.limit.kind === "limited") context.onLimitReported(id, engineState.limit);
    if (fleet.find(id)?.holdings.sequence !== previousSequence) context.notifyPeers();
  };
  result.ifRight((engineState) =>
    timeTask(context, "apply engine state", () => applyState(engineState)),
  );
}

/**
 * Minimum spacing of polls over all engines without a move, which bounds the polling rate in large
 * deployments.
 */
const minPollSpacingMs: Milliseconds = 20;

/**
 * Fraction of the remaining load time after which the engine is polled again, with shorter
 * intervals towards the end of the load.
 */
const loadPollFraction = 0.5;

/** Returns the polling interval of an engine. */
function pollIntervalFor(
  context: DispatcherContext,
  target: TargetView,
  idleIntervalMs: Milliseconds,
): Milliseconds {
  const { state, rules } = context;
  const activeMove = state.activeMoves.get(target.listed.id);
  if (activeMove?.lastOrder?.order.action === "load") {
    return Math.max(
      rules.activePollIntervalMs,
      remainingMoveMs(context, activeMove) * loadPollFraction,
    );
  }
  const isStateOutdated = (target.state?.sequence ?? 0) < target.holdings.sequence;
  const hasPendingAdapters =
    isStateOutdated ||
    pendingAdapterOrder(context, target) !== undefined ||
    (target.state?.adaptersComing.length ?? 0) > 0;
  return activeMove || hasPendingAdapters ? rules.activePollIntervalMs : idleIntervalMs;
}

/** Polls every engine that is due. */
export function pollDueEngines(context: DispatcherContext): void {
  const { state, clock, rules } = context;
  const now = clock.now();
  const engines = orderableEngines(context);
  const idleIntervalMs = Math.max(rules.pollIntervalMs, engines.length * minPollSpacingMs);
  for (const target of engines) {
    const { id } = target.listed;
    const intervalMs = pollIntervalFor(context, target, idleIntervalMs);
    if (now - (state.lastPolledAt.get(id) ?? -Infinity) >= intervalMs)
      void pollEngine(context, target);
  }
}
