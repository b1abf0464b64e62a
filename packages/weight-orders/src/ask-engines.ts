/** Asks engines for their state: those with a move often, the others now and then. */
import type { TargetBelief } from "@linkfall/fleet";
import type { Milliseconds } from "@linkfall/types";
import { enginesOf, type GiverContext, pendingAdapter } from "./giver-context.js";

/** Asks one engine, unless it is being asked. */
export async function askEngine(context: GiverContext, belief: TargetBelief): Promise<void> {
  const { state, clock, fleet } = context;
  const { id } = belief.listed;
  if (state.asking.has(id)) return;
  state.asking.add(id);
  const sentAt = clock.now();
  state.asked.set(id, sentAt);
  const answer = await context.engines.state(belief.listed);
  state.asking.delete(id);
  answer.ifRight((read) => {
    const before = belief.holdings.sequence;
    fleet.takeState(id, read, clock.now() - sentAt);
    if (belief.holdings.sequence !== before) context.announce();
  });
}

/** With many engines, those without a move are asked less often: one every so many milliseconds. */
const askGapMs: Milliseconds = 20;

/** Asks every engine whose state is due. */
export function askDueEngines(context: GiverContext): void {
  const { state, clock, rules } = context;
  const now = clock.now();
  const engines = enginesOf(context);
  const stillMs = Math.max(rules.stateMs, engines.length * askGapMs);
  for (const belief of engines) {
    const { id } = belief.listed;
    const adaptersMove =
      pendingAdapter(context, belief) !== undefined ||
      (belief.state?.adaptersComing.length ?? 0) > 0;
    const every = state.work.has(id) || adaptersMove ? rules.busyStateMs : stillMs;
    if (now - (state.asked.get(id) ?? -Infinity) >= every) void askEngine(context, belief);
  }
}
