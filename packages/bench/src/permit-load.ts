/** Traffic patterns and faults for comparing strategies that enforce a target's limit across boxes. */
import { seededRandom } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Requests for one target with a rate limit, with the faults during them. */
export interface PermitLoad {
  readonly name: string;
  readonly boxes: number;
  /** Rate limit of the target in requests per second, over all boxes. */
  readonly perSecond: number;
  /** Restarts the first `boxes` boxes with empty state. */
  readonly restart?: { readonly at: Milliseconds; readonly boxes: number };
  /** Isolates the first `boxes` boxes from the others, but not from each other or from the target. */
  readonly isolated?: {
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly boxes: number;
  };
}

/** One request that only the rate-limited target can serve. */
export interface PermitArrival {
  readonly at: Milliseconds;
  readonly box: number;
}

export const loadDurationMs: Milliseconds = 40_000;
/** Time from which the target's responses state its limit. */
export const limitAnnouncedAt: Milliseconds = 2_000;
/** Ratio of the request rate to the limit. */
const demandToLimitRatio = 3;
const millisecondsPerSecond = 1000;

const fleetSizes = [
  { boxes: 8, perSecond: 1 },
  { boxes: 60, perSecond: 1 },
  { boxes: 86, perSecond: 4 },
  { boxes: 195, perSecond: 0.5 },
];

export const permitLoads: readonly PermitLoad[] = fleetSizes.flatMap((size) => [
  { name: "steady", ...size },
  { name: "all restarted", ...size, restart: { at: 15_000, boxes: size.boxes } },
  {
    name: "a quarter isolated",
    ...size,
    isolated: { from: 12_000, until: 24_000, boxes: Math.floor(size.boxes / 4) },
  },
]);

export function isIsolated({ isolated }: PermitLoad, box: number, at: Milliseconds): boolean {
  return (
    isolated !== undefined && box < isolated.boxes && at >= isolated.from && at < isolated.until
  );
}

/** Generates the requests of a load in order of arrival. */
export function generateArrivals(
  { boxes, perSecond }: PermitLoad,
  seed: number,
): readonly PermitArrival[] {
  const random = seededRandom(seed);
  const gapMs = millisecondsPerSecond / (perSecond * demandToLimitRatio);
  const arrivals: PermitArrival[] = [];
  for (let at = 0; at < loadDurationMs;) {
    at += -Math.log(1 - random.nextFloat()) * gapMs;
    arrivals.push({ at, box: random.nextInt(boxes) });
  }
  return arrivals;
}
