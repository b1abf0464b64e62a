/**
 * Rests that targets ask this box for. A rest is kept apart from the views of the targets, so that it holds when a
 * target's entry disappears and comes back.
 */
import { isSameIncarnation, type Milliseconds } from "@linkfall/types";
import { type FleetState, notifyChange } from "./fleet-state.js";
import type { TargetView } from "./target-view.js";

/** A target's wish to get no requests from this box for a time. */
export interface RestRequest {
  readonly target: string;
  /** Start time of the incarnation that asked; absent if unknown. */
  readonly born?: Milliseconds;
  readonly forMs: Milliseconds;
}

/** The newest rest of one target. */
export interface Rest {
  readonly born?: Milliseconds;
  readonly until: Milliseconds;
  /** Requests that were sent to the target since the end of its rest. */
  sendsSinceEnd: number;
}

/** A target that accepts no request now. */
export interface RestingTarget {
  readonly target: TargetView;
  /** Time until it accepts a request. */
  readonly acceptsInMs: Milliseconds;
}

/** Time after a rest in which the number of sends is limited, as the target may still be overloaded. */
const rampMs: Milliseconds = 500;
/** Time in which one more request may be sent during the ramp. */
const rampStepMs: Milliseconds = 25;
/** Longest delay that a timer supports. */
const maxTimerMs: Milliseconds = 2 ** 31 - 1;
/** The oldest rests are evicted first. */
const maxRests = 5_000;

const restOf = ({ rests }: FleetState, { listed, born }: TargetView): Rest | undefined => {
  const rest = rests.get(listed.id);
  return rest && isSameIncarnation(rest.born, born) ? rest : undefined;
};

/** Records a rest; one that ends earlier than a known one changes nothing. */
export function recordRest(state: FleetState, { target, born, forMs }: RestRequest): void {
  const { clock, rests } = state;
  const until = clock.now() + forMs;
  const known = rests.get(target);
  if (known && isSameIncarnation(known.born, born) && known.until >= until) return;
  rests.delete(target);
  rests.set(target, { born, until, sendsSinceEnd: 0 });
  if (rests.size > maxRests) rests.delete(rests.keys().next().value ?? "");
  clock.after(Math.min(forMs, maxTimerMs), () => notifyChange(state));
}

/** Counts a send to a target. */
export function recordSend(state: FleetState, target: TargetView): void {
  const rest = restOf(state, target);
  if (rest && state.clock.now() >= rest.until) rest.sendsSinceEnd += 1;
}

/** Time until the end of the target's rest; 0 if it does not rest. */
export function restRemainingMs(state: FleetState, target: TargetView): Milliseconds {
  return Math.max(0, (restOf(state, target)?.until ?? -Infinity) - state.clock.now());
}

/** Time until the target accepts a request of this box. */
export function acceptsInMs(state: FleetState, target: TargetView): Milliseconds {
  const rest = restOf(state, target);
  if (!rest) return 0;
  const sinceEndMs = state.clock.now() - rest.until;
  if (sinceEndMs < 0) return -sinceEndMs;
  const allowedSends = 1 + Math.floor(sinceEndMs / rampStepMs);
  if (sinceEndMs >= rampMs || rest.sendsSinceEnd < allowedSends) return 0;
  return rampStepMs - (sinceEndMs % rampStepMs);
}

/** Drops the rest of an incarnation other than the one that started at `born`. */
export function endRestOfEarlierIncarnation(
  { rests }: FleetState,
  target: string,
  born: Milliseconds | undefined,
): void {
  const known = rests.get(target)?.born;
  if (known === undefined || known !== born) rests.delete(target);
}

/** Drops rests whose ramp has ended. */
export function expireRests({ rests, clock }: FleetState): void {
  for (const [target, { until }] of rests) {
    if (clock.now() - until > rampMs) rests.delete(target);
  }
}
