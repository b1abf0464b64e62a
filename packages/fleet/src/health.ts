/** Ejects a target after consecutive failures, with exponentially growing ejection times. */
import type { Milliseconds } from "@linkfall/types";

/** When a target is ejected, and for how long. */
export interface EjectionPolicy {
  /** Number of consecutive failures that eject a target. */
  readonly consecutiveFailures: number;
  /** Time of the first ejection; doubles with each further one up to `maxMs`. */
  readonly initialMs: Milliseconds;
  readonly maxMs: Milliseconds;
}

/** A target's recent successes and failures, as observed by one box. */
export interface Health {
  readonly consecutiveFailures: number;
  /** Determines the next ejection time; grows with each ejection and shrinks with each success. */
  readonly ejections: number;
  readonly ejectedUntil: Milliseconds;
  /** Health before each of the first failed connections since the last success, in their order. */
  readonly beforeConnectFailures: readonly HealthAt[];
}

/** The health until a time. */
export interface HealthAt {
  readonly at: Milliseconds;
  readonly health: Omit<Health, "beforeConnectFailures">;
}

/** Limit of the failed connections kept; a target with more has most likely failed itself. */
const maxConnectFailures = 16;

/** Health of a target without failures. */
export const initialHealth: Health = {
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntil: 0,
  beforeConnectFailures: [],
};

/** Returns the health after a successful response. */
export function afterSuccess(health: Health): Health {
  if (health.consecutiveFailures === 0 && health.ejections === 0) return health;
  return { ...initialHealth, ejections: Math.max(0, health.ejections - 1) };
}

/** Returns the health after a failure caused by the target. */
export function afterFailure(health: Health, policy: EjectionPolicy, now: Milliseconds): Health {
  const failures = health.consecutiveFailures + 1;
  if (failures < policy.consecutiveFailures) return { ...health, consecutiveFailures: failures };
  const durationMs = Math.min(policy.maxMs, policy.initialMs * 2 ** health.ejections);
  return {
    ...health,
    consecutiveFailures: 0,
    ejections: health.ejections + 1,
    ejectedUntil: now + durationMs,
  };
}

/** Whether the target is ejected at `now`. */
export function isEjected(health: Health, now: Milliseconds): boolean {
  return now < health.ejectedUntil;
}

/** Returns the health after a refused connection, which ejects the target at once. */
export function afterRefusedConnection(
  health: Health,
  policy: EjectionPolicy,
  now: Milliseconds,
): Health {
  return afterFailure(
    { ...health, consecutiveFailures: policy.consecutiveFailures - 1 },
    policy,
    now,
  );
}

/** Returns the health after a connection failed, which `next` determines, with the means to forget the failure. */
export function afterConnectFailure(
  health: Health,
  next: typeof afterFailure,
  policy: EjectionPolicy,
  now: Milliseconds,
): Health {
  const { beforeConnectFailures, ...before } = health;
  const kept = [...beforeConnectFailures, { at: now, health: before }].slice(0, maxConnectFailures);
  return { ...next(health, policy, now), beforeConnectFailures: kept };
}

/** Returns the health before the first failed connection at `since` or later, and thus without any later failure. */
export function withoutConnectFailures(health: Health, since: Milliseconds): Health {
  const { beforeConnectFailures } = health;
  const index = beforeConnectFailures.findIndex(({ at }) => at >= since);
  if (index < 0) return health;
  return {
    ...beforeConnectFailures[index].health,
    beforeConnectFailures: beforeConnectFailures.slice(0, index),
  };
}
