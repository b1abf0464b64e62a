/** When callers that were rejected should retry: one after the other, in the order of their arrival, at the rate at which there is capacity. */
import type { Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { RequestClass } from "./fair-queue.js";

/** Half of a class's rate is left to new arrivals; callers that retry come on top of them. */
const bookedShare = 0.5;
/**
 * Callers that return on time come before new ones, which then wait longer than was expected on their arrival. With half of the
 * rate, twice the capacity and exponential work, the capacity used within the objective fell from 0.83 to 0.65.
 */
const onTimeShare = 0.15;
/** Callers honour a `Retry-After` up to this part of their remaining time; later times are told but not booked. */
const honouredShare = 1 / 3;
/** A shorter time would return before the queue has changed. */
const minRetryMs: Milliseconds = 20;

export interface RetryCause {
  /** Time by which the expected wait exceeds what the request allows. */
  readonly excessMs: Milliseconds;
  /** Time between two requests of the class at its share of the capacity. */
  readonly intervalMs: Milliseconds;
  readonly timeLeftMs: Milliseconds;
  /** Time within which the caller has to return to meet its objective; it then comes before new ones. */
  readonly onTimeMs: Milliseconds;
}

export function bookRetry(
  requestClass: RequestClass,
  { excessMs, intervalMs, timeLeftMs, onTimeMs }: RetryCause,
  random: Random,
  now: Milliseconds,
): Milliseconds {
  const earliest = now + Math.max(minRetryMs, excessMs);
  const spacingMs = intervalMs / bookedShare;
  const at = Math.max(earliest, requestClass.retryAt + intervalMs / onTimeShare);
  const isOnTime = at <= now + onTimeMs;
  const lateAt = Math.max(earliest, now + onTimeMs, requestClass.lateRetryAt + spacingMs);
  const afterMs = (isOnTime ? at : lateAt) - now;
  const spreadMs = random.nextFloat() * Math.min(spacingMs, afterMs / 2);
  if (isOnTime) requestClass.retryAt = at;
  else if (afterMs <= timeLeftMs * honouredShare) requestClass.lateRetryAt = lateAt;
  return afterMs + spreadMs;
}
