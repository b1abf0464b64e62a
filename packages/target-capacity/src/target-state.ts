/** What is learned of one target. */
import type { Milliseconds } from "@linkfall/types";
import { type ConcurrencyCurve, createConcurrencyCurve } from "./concurrency-curve.js";
import { createRejectionBound, type RejectionBound } from "./rejection-bound.js";
import type { ServiceState } from "./service-capacities.js";
import { createTargetSlowness, type TargetSlowness } from "./target-slowness.js";

export interface TargetState {
  readonly id: string;
  readonly service: ServiceState;
  readonly slowness: TargetSlowness;
  readonly rejections: RejectionBound;
  /** Slots as last stated by the caller; 0 if unknown. */
  slots: number;
  /** Bound that another box has observed, and the time until which it holds. */
  reportedBound: number;
  reportedUntil: Milliseconds;
  curveOf(kind: string): ConcurrencyCurve;
  /** Bound of the concurrency at which throughput grows, of all curves; `undefined` if none is known. */
  bound(): number | undefined;
  allowedAt(slots: number, now: Milliseconds): number;
  isTryingHalf(now: Milliseconds): boolean;
}

/**
 * An engine's prefill and decode slow down differently with its concurrency. Routes of a plain service share one curve,
 * which is learned sooner.
 */
const kindsWithOwnCurve = new Set(["prefill", "decode"]);
/** An engine reads prompts one after another: the duration of a prefill bounds nothing. */
const kindWithoutBound = "prefill";

export function createTargetState(
  id: string,
  service: ServiceState,
  now: Milliseconds,
): TargetState {
  const curves = new Map<string, ConcurrencyCurve>();
  const rejections = createRejectionBound();
  const state: TargetState = {
    id,
    service,
    slowness: createTargetSlowness(service.medianSlowness(now), now),
    rejections,
    slots: 0,
    reportedBound: Infinity,
    reportedUntil: -Infinity,
    curveOf(kind) {
      const key = kindsWithOwnCurve.has(kind) ? kind : "";
      const known = curves.get(key);
      if (known) return known;
      const created = createConcurrencyCurve();
      curves.set(key, created);
      return created;
    },
    bound() {
      let least: number | undefined;
      for (const [kind, curve] of curves) {
        const bound = kind === kindWithoutBound ? undefined : curve.bound();
        if (bound !== undefined) least = Math.min(least ?? Infinity, bound);
      }
      return least;
    },
    allowedAt(slots, now) {
      const mayTryHalf = () => service.mayTryHalf(now);
      let least = rejections.at(now);
      let isOwn = false;
      for (const [kind, curve] of curves) {
        const allowed =
          kind === kindWithoutBound ? undefined : curve.allowedAt(now, slots, mayTryHalf);
        if (allowed === undefined) continue;
        isOwn = true;
        least = Math.min(least, allowed);
      }
      if (!isOwn && now < state.reportedUntil) least = Math.min(least, state.reportedBound);
      return least;
    },
    isTryingHalf: (now) => [...curves.values()].some((curve) => curve.isTryingHalf(now)),
  };
  return state;
}
