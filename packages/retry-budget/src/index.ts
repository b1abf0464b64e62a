/** This box's share of the retries that all boxes together may send to a service. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Retry limit of a service over all boxes. */
export interface RetryLimit {
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Allowed retries per window independent of the requests, over all boxes. */
  readonly baseRetries: number;
  readonly windowMs: Milliseconds;
}

export interface RetryBudget {
  /** Counts a request to the service, without its retries. */
  recordRequest(service: string): void;
  /** Whether one retry is left. */
  canTake(service: string, boxes: number): boolean;
  /** Takes one retry from the budget; returns false if it is exhausted. `boxes` share the base retries. */
  tryTake(service: string, boxes: number): boolean;
}

/** Fraction of the budget that is used, since boxes may disagree on the number of boxes. */
const safetyFactor = 0.8;

interface ServiceUsage {
  requests: Milliseconds[];
  retries: Milliseconds[];
}

function dropBefore(times: Milliseconds[], since: Milliseconds): Milliseconds[] {
  const firstKept = times.findIndex((time) => time >= since);
  if (firstKept < 0) return [];
  return firstKept === 0 ? times : times.slice(firstKept);
}

/** Creates the budget of one box. */
export function createRetryBudget(clock: Clock, limit: RetryLimit): RetryBudget {
  const usageByService = new Map<string, ServiceUsage>();
  const usageOf = (service: string): ServiceUsage => {
    const usage = usageByService.get(service) ?? { requests: [], retries: [] };
    usageByService.set(service, usage);
    const since = clock.now() - limit.windowMs;
    usage.requests = dropBefore(usage.requests, since);
    usage.retries = dropBefore(usage.retries, since);
    return usage;
  };
  const canTake = (service: string, boxes: number): boolean => {
    const usage = usageOf(service);
    const baseShare = limit.baseRetries / Math.max(1, boxes);
    const allowed = (limit.ratio * usage.requests.length + baseShare) * safetyFactor;
    return usage.retries.length + 1 <= allowed;
  };
  return {
    canTake,
    recordRequest(service) {
      usageOf(service).requests.push(clock.now());
    },
    tryTake(service, boxes) {
      if (!canTake(service, boxes)) return false;
      usageOf(service).retries.push(clock.now());
      return true;
    },
  };
}
