/** Leaves a target out for a while after failures in a row; each further time for longer. */
import type { Milliseconds } from "@linkfall/types";

/** When a target is left out, and for how long. */
export interface EjectionPolicy {
  readonly consecutiveFailures: number;
  readonly initialMs: Milliseconds;
  readonly maxMs: Milliseconds;
}

/** What one box has seen of a target's answers. */
export interface Health {
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntil: Milliseconds;
}

export const initialHealth: Health = { consecutiveFailures: 0, ejections: 0, ejectedUntil: 0 };

/** Health after an answer that the target made as it should. */
export function afterSuccess(health: Health): Health {
  if (health.consecutiveFailures === 0 && health.ejections === 0) return health;
  return { consecutiveFailures: 0, ejections: Math.max(0, health.ejections - 1), ejectedUntil: 0 };
}

/** Health after a failure that the target is to blame for. */
export function afterFailure(health: Health, rule: EjectionPolicy, now: Milliseconds): Health {
  const failures = health.consecutiveFailures + 1;
  if (failures < rule.consecutiveFailures) return { ...health, consecutiveFailures: failures };
  const lasting = Math.min(rule.maxMs, rule.initialMs * 2 ** health.ejections);
  return { consecutiveFailures: 0, ejections: health.ejections + 1, ejectedUntil: now + lasting };
}

/** Whether the target is left out now. */
export function isEjected(health: Health, now: Milliseconds): boolean {
  return now < health.ejectedUntil;
}

/** Health after the target was found not to listen: it is left out at once. */
export function afterRefusedConnection(
  health: Health,
  rule: EjectionPolicy,
  now: Milliseconds,
): Health {
  return afterFailure({ ...health, consecutiveFailures: rule.consecutiveFailures - 1 }, rule, now);
}
