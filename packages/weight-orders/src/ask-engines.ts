/** Asks engines for their state: those with a move often, the others now and then. */
import type { TargetBelief } from "@linkfall/fleet";
import type { Milliseconds } from "@linkfall/types";
import { enginesOf, type GiverContext, pendingAdapter } from "./giver-context.js";
import { moveLeftMs } from "./move-time.js";

/** Asks one engine, unless it is being asked. */
export async function askEngine(context: GiverContext, belief: TargetBelief): Promise<void> {
  const { state, clock, fleet } = context;
  const { id } = belief.listed;
  if (state.asking.has(id)) return;
  state.asking.add(id);
  const sentAt = clock.now();
  state.asked.set(id, sentAt);
  const answer = await context.engines.readState(belief.listed);
  state.asking.delete(id);
  // An answer of a life that is over says nothing of the one that is known by now.
  if (fleet.find(id) !== belief) return;
  answer.ifRight((read) => {
    const before = belief.holdings.sequence;
    fleet.takeState(id, read, clock.now() - sentAt);
    // Heard here before any request is answered; that the report names none says nothing.
    if (read.limit.kind === "limited") context.noteLimit(id, read.limit);
    if (fleet.find(id)?.holdings.sequence !== before) context.announce();
  });
}

/** With many engines, those without a move are asked less often: one every so many milliseconds. */
const askGapMs: Milliseconds = 20;

/** A load is asked about again when this share of its time left has passed: often towards its end. */
const askShare = 0.5;

/** Time after its last question after which an engine is asked again. */
function askEveryMs(
  context: GiverContext,
  belief: TargetBelief,
  stillMs: Milliseconds,
): Milliseconds {
  const { state, rules } = context;
  const work = state.work.get(belief.listed.id);
  if (work?.sent?.order.action === "load") {
    return Math.max(rules.busyStateMs, moveLeftMs(context, work) * askShare);
  }
  const behind = (belief.state?.sequence ?? 0) < belief.holdings.sequence;
  const adaptersMove =
    behind ||
    pendingAdapter(context, belief) !== undefined ||
    (belief.state?.adaptersComing.length ?? 0) > 0;
  return work || adaptersMove ? rules.busyStateMs : stillMs;
}

/** Asks every engine whose state is due. */
export function askDueEngines(context: GiverContext): void {
  const { state, clock, rules } = context;
  const now = clock.now();
  const engines = enginesOf(context);
  const stillMs = Math.max(rules.stateMs, engines.length * askGapMs);
  for (const belief of engines) {
    const { id } = belief.listed;
    const every = askEveryMs(context, belief, stillMs);
    if (now - (state.asked.get(id) ?? -Infinity) >= every) void askEngine(context, belief);
  }
}
