/**
 * Weighs how much more likely crashes are if a suspect causes them than if they are unrelated to it. Likelihood ratios of
 * predicates: Liblit et al., "Bug Isolation via Remote Program Sampling" (PLDI 2003).
 */
import type { Milliseconds } from "@linkfall/types";

/** Time until a response begins if none has been measured; also the maximum. */
export const defaultExposureMs: Milliseconds = 500;
/** Chance that a request meets an unrelated crash before its response begins, if no crash is known. */
const priorChance = 0.02;
/** Growth of that chance with the time for which the response has been going on, per millisecond. */
const priorChanceGrowth = 0.000_04;
/** Time over which the rate of crashes is taken, before and after those of a suspect. */
export const rateWindowMs: Milliseconds = 10_000;
const maxChance = 0.99;

/** A crash with a suspect. */
export interface WeighedCrash {
  /** 1, or a fraction for a crash that coincides with others. */
  readonly weight: number;
  /** Time for which the target had been responding to the request. */
  readonly writingMs: Milliseconds;
}

export interface Evidence {
  /** Sum of the weights of the crashes. */
  readonly crashes: number;
  /** Requests with the suspect that were served. */
  readonly served: number;
  /** Chance that a request meets an unrelated crash. */
  readonly byChance: number;
  /** Logarithm of the likelihood ratio; 0 if the suspect crashes targets no more often than chance does. */
  readonly weight: number;
}

export const noEvidence: Evidence = { crashes: 0, served: 0, byChance: 0, weight: 0 };

/** What is known of the requests of a service. */
export interface Circumstances {
  /** Rate of crashes of one target around the time of the suspect's crashes, per millisecond. */
  readonly crashRate: number;
  /** Time until responses begin, in which requests are exposed to crashes. */
  readonly exposureMs: Milliseconds;
  /** Number of requests with the suspect that were served. */
  readonly served: number;
}

/** Weighs the crashes of a suspect. */
export function weigh(
  crashes: readonly WeighedCrash[],
  { crashRate, exposureMs, served }: Circumstances,
): Evidence {
  const chanceAfter = (writingMs: Milliseconds) => {
    const prior = priorChance + priorChanceGrowth * writingMs;
    return Math.min(maxChance, prior + crashRate * (exposureMs + writingMs));
  };
  const count = crashes.reduce((sum, { weight }) => sum + weight, 0);
  const byChance = chanceAfter(0);
  const caused = count / (count + served);
  if (!(caused > byChance)) return { crashes: count, served, byChance, weight: 0 };
  const forCrashes = crashes.reduce((sum, { weight, writingMs }) => {
    return sum + weight * Math.log(caused / chanceAfter(writingMs));
  }, 0);
  const forServed = served === 0 ? 0 : served * Math.log((1 - caused) / (1 - byChance));
  return { crashes: count, served, byChance, weight: forCrashes + forServed };
}
