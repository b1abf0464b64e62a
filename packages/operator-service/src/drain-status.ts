/** Progress of a planned stop. */
import { serviceName } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface DrainStatus {
  readonly phase: "serving" | "leaving_answers" | "finishing_requests" | "stopped";
  readonly requestsInFlight: number;
  /** Time until the last list of entries and the last ticket that name this box have expired. */
  readonly answersEndInMs: Milliseconds;
}

export const drainStatusName = serviceName<() => DrainStatus>("drain-status");
