/** Loads under which ways to keep a target's limit over many boxes are compared. */
import { seededRandom } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface PermitLoad {
  readonly name: string;
  readonly boxes: number;
  /** Requests a second that the target takes from all boxes together. */
  readonly perSecond: number;
  /** Boxes that lose what they know, all at once. */
  readonly restart?: { readonly at: Milliseconds; readonly boxes: number };
  /** The first boxes are cut off from the rest in this span, not from each other and not from the target. */
  readonly cut?: {
    readonly from: Milliseconds;
    readonly until: Milliseconds;
    readonly boxes: number;
  };
}

/** One request that only the limited target can serve. */
export interface PermitArrival {
  readonly at: Milliseconds;
  readonly box: number;
}

export const loadDurationMs: Milliseconds = 40_000;
/** From then on the target names its limit. */
export const limitAnnouncedAt: Milliseconds = 2_000;
/** Callers ask for so many times what the target takes. */
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
    name: "a quarter cut off",
    ...size,
    cut: { from: 12_000, until: 24_000, boxes: Math.floor(size.boxes / 4) },
  },
]);

export function isIsolated({ cut }: PermitLoad, box: number, at: Milliseconds): boolean {
  return cut !== undefined && box < cut.boxes && at >= cut.from && at < cut.until;
}

/** Requests of a load, in the order of time. */
export function generateArrivals(
  { boxes, perSecond }: PermitLoad,
  seed: number,
): readonly PermitArrival[] {
  const random = seededRandom(seed);
  const gapMs = millisecondsPerSecond / (perSecond * demandToLimitRatio);
  const arrivals: PermitArrival[] = [];
  for (let at = 0; at < loadDurationMs;) {
    at += -Math.log(1 - random.fraction()) * gapMs;
    arrivals.push({ at, box: random.below(boxes) });
  }
  return arrivals;
}
