/** How long requests of each service are exposed to unrelated crashes until their responses begin. */
import type { Milliseconds } from "@linkfall/types";
import { defaultExposureMs } from "./evidence.js";

/** Weight of a new measurement. */
const smoothing = 0.05;
const minExposureMs: Milliseconds = 50;
/** Services are part of the configuration, so that there are few. */
const maxServices = 1_000;

export interface Exposures {
  record(service: string, ms: Milliseconds): void;
  of(service: string): Milliseconds;
}

/** Creates averages without measurements. */
export function createExposures(): Exposures {
  const averages = new Map<string, Milliseconds>();
  return {
    record(service, ms) {
      const known = averages.get(service);
      if (known === undefined && averages.size >= maxServices) return;
      averages.set(service, known === undefined ? ms : known + smoothing * (ms - known));
    },
    of(service) {
      const average = averages.get(service) ?? defaultExposureMs;
      return Math.min(defaultExposureMs, Math.max(minExposureMs, average));
    },
  };
}
