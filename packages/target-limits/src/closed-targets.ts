/** Targets whose permits are used up, as this box was told: not asked for again at once. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

interface Refusal {
  /** Longest time that a refused request could wait. */
  readonly withinMs: Milliseconds;
  readonly until: Milliseconds;
  /** When a request that is refused now may come back. */
  comeBackAt: Milliseconds;
}

export interface ExhaustedTargets {
  /** Notes that no permit was to be had within that time; `waitMs` is when there will be one. */
  recordRefusal(target: string, withinMs: Milliseconds, waitMs: Milliseconds): void;
  /** Whether an ask for a permit within that time would be refused. */
  isExhausted(target: string, withinMs: Milliseconds): boolean;
  /** Time until a permit is due for a request that is refused now. */
  msUntilPermit(target: string): Milliseconds;
  /** Notes that one more request has been told to come back when its permit is due. */
  reserveRetry(target: string, perSecond: number): void;
  forget(target: string): void;
}

const millisecondsPerSecond = 1000;
/** A refusal is repeated for this long without asking again. */
const repeatMs: Milliseconds = 200;

export function createExhaustedTargets(clock: Clock): ExhaustedTargets {
  const refusals = new Map<string, Refusal>();
  return {
    recordRefusal(target, withinMs, waitMs) {
      const now = clock.now();
      const until = now + Math.min(waitMs, repeatMs);
      refusals.set(target, { withinMs, until, comeBackAt: now + waitMs });
    },
    isExhausted(target, withinMs) {
      const refusal = refusals.get(target);
      return refusal !== undefined && clock.now() < refusal.until && withinMs <= refusal.withinMs;
    },
    msUntilPermit(target) {
      const refusal = refusals.get(target);
      return refusal ? Math.max(0, Math.ceil(refusal.comeBackAt - clock.now())) : 0;
    },
    reserveRetry(target, perSecond) {
      const refusal = refusals.get(target);
      if (refusal) refusal.comeBackAt += millisecondsPerSecond / perSecond;
    },
    forget: (target) => void refusals.delete(target),
  };
}
