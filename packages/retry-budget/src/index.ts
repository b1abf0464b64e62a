/** This box's part of the retries that all boxes together may send to a service. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** The bound that holds for all boxes together. */
export interface RetryLimit {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beside those, in each window, over all boxes. */
  readonly baseRetries: number;
  readonly windowMs: Milliseconds;
}

export interface RetryBudget {
  /** Notes a first send to the service. */
  recordRequest(service: string): void;
  /** Takes one retry if the budget has it. */
  tryTake(service: string, boxes: number): boolean;
}

/** What is left unused, for views of the number of boxes that differ. */
const safetyFactor = 0.8;

interface ServiceUsage {
  requests: Milliseconds[];
  retries: Milliseconds[];
}

function dropBefore(times: Milliseconds[], since: Milliseconds): Milliseconds[] {
  const first = times.findIndex((time) => time >= since);
  if (first < 0) return [];
  return first === 0 ? times : times.slice(first);
}

/** Creates the budget of one box. */
export function createRetryBudget(clock: Clock, limit: RetryLimit): RetryBudget {
  const usageByService = new Map<string, ServiceUsage>();
  const usageOf = (service: string): ServiceUsage => {
    const use = usageByService.get(service) ?? { requests: [], retries: [] };
    usageByService.set(service, use);
    const since = clock.now() - limit.windowMs;
    use.requests = dropBefore(use.requests, since);
    use.retries = dropBefore(use.retries, since);
    return use;
  };
  return {
    recordRequest(service) {
      usageOf(service).requests.push(clock.now());
    },
    tryTake(service, boxes) {
      const use = usageOf(service);
      const share = limit.baseRetries / Math.max(1, boxes);
      const allowed = (limit.ratio * use.requests.length + share) * safetyFactor;
      if (use.retries.length + 1 > allowed) return false;
      use.retries.push(clock.now());
      return true;
    },
  };
}
