/** Asks engines for their state: those with a move often, the others now and then. */
import type { TargetView } from "@linkfall/fleet";
import type { Milliseconds } from "@linkfall/types";
import {
  orderableEngines,
  type DispatcherContext,
  pendingAdapterOrder,
} from "./dispatcher-context.js";
import { remainingMoveMs } from "./remaining-move-time.js";

/** Asks one engine, unless it is being asked. */
export async function pollEngine(context: DispatcherContext, belief: TargetView): Promise<void> {
  const { state, clock, fleet } = context;
  const { id } = belief.listed;
  if (state.pendingPolls.has(id)) return;
  state.pendingPolls.add(id);
  const sentAt = clock.now();
  state.lastPolledAt.set(id, sentAt);
  const answer = await context.engines.readState(belief.listed);
  state.pendingPolls.delete(id);
  // An answer of a life that is over says nothing of the one that is known by now.
  if (fleet.find(id) !== belief) return;
  answer.ifRight((read) => {
    const before = belief.holdings.sequence;
    fleet.applyState(id, read, clock.now() - sentAt);
    // Heard here before any request is answered; that the report names none says nothing.
    if (read.limit.kind === "limited") context.onLimitReported(id, read.limit);
    if (fleet.find(id)?.holdings.sequence !== before) context.notifyPeers();
  });
}

/** With many engines, those without a move are asked less often: one every so many milliseconds. */
const minPollSpacingMs: Milliseconds = 20;

/** A load is asked about again when this share of its time left has passed: often towards its end. */
const loadPollFraction = 0.5;

/** Time after its last question after which an engine is asked again. */
function pollIntervalFor(
  context: DispatcherContext,
  belief: TargetView,
  stillMs: Milliseconds,
): Milliseconds {
  const { state, rules } = context;
  const work = state.activeMoves.get(belief.listed.id);
  if (work?.lastOrder?.order.action === "load") {
    return Math.max(rules.activePollIntervalMs, remainingMoveMs(context, work) * loadPollFraction);
  }
  const behind = (belief.state?.sequence ?? 0) < belief.holdings.sequence;
  const adaptersMove =
    behind ||
    pendingAdapterOrder(context, belief) !== undefined ||
    (belief.state?.adaptersComing.length ?? 0) > 0;
  return work || adaptersMove ? rules.activePollIntervalMs : stillMs;
}

/** Asks every engine whose state is due. */
export function pollDueEngines(context: DispatcherContext): void {
  const { state, clock, rules } = context;
  const now = clock.now();
  const engines = orderableEngines(context);
  const stillMs = Math.max(rules.pollIntervalMs, engines.length * minPollSpacingMs);
  for (const belief of engines) {
    const { id } = belief.listed;
    const every = pollIntervalFor(context, belief, stillMs);
    if (now - (state.lastPolledAt.get(id) ?? -Infinity) >= every) void pollEngine(context, belief);
  }
}
