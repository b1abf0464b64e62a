/** This box's part of the retries that all boxes together may send to a service. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** The bound that holds for all boxes together. */
export interface RetryBound {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beside those, in each window, over all boxes. */
  readonly slack: number;
  readonly windowMs: Milliseconds;
}

export interface RetryBudget {
  /** Notes a first send to the service. */
  request(service: string): void;
  /** Takes one retry if the budget has it. */
  take(service: string, boxes: number): boolean;
}

/** What is left unused, for views of the number of boxes that differ. */
const caution = 0.8;

interface ServiceUse {
  requests: Milliseconds[];
  retries: Milliseconds[];
}

function within(times: Milliseconds[], since: Milliseconds): Milliseconds[] {
  const first = times.findIndex((time) => time >= since);
  if (first < 0) return [];
  return first === 0 ? times : times.slice(first);
}

/** Creates the budget of one box. */
export function createRetryBudget(clock: Clock, bound: RetryBound): RetryBudget {
  const uses = new Map<string, ServiceUse>();
  const useOf = (service: string): ServiceUse => {
    const use = uses.get(service) ?? { requests: [], retries: [] };
    uses.set(service, use);
    const since = clock.now() - bound.windowMs;
    use.requests = within(use.requests, since);
    use.retries = within(use.retries, since);
    return use;
  };
  return {
    request(service) {
      useOf(service).requests.push(clock.now());
    },
    take(service, boxes) {
      const use = useOf(service);
      const share = bound.slack / Math.max(1, boxes);
      const allowed = (bound.ratio * use.requests.length + share) * caution;
      if (use.retries.length + 1 > allowed) return false;
      use.retries.push(clock.now());
      return true;
    },
  };
}
