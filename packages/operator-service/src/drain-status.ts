/** How far a planned stop has come. */
import { serviceName } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface DrainStatus {
  readonly phase: "serving" | "leaving_answers" | "finishing_requests" | "stopped";
  readonly requestsInFlight: number;
  /** Time until the last answer and ticket that name this box have run out. */
  readonly answersEndInMs: Milliseconds;
}

export const drainStatusName = serviceName<() => DrainStatus>("drain-status");
