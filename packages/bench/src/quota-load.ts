/** Loads under which ways to keep one account's limit over many boxes are compared. */
import { type Random, seededRandom } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** A span of time. */
export interface TimeRange {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

export interface QuotaLoad {
  readonly name: string;
  /** Boxes that callers use. */
  readonly boxes: number;
  /** Limit of the account, in tokens a second; as much may come at once. */
  readonly perSecond: number;
  /** The account sends so many times its usual in this span. */
  readonly hot?: TimeRange & { readonly times: number };
  /** All callers use the first boxes only in this span. */
  readonly gathered?: TimeRange & { readonly boxes: number };
  /** The first boxes are cut off from the rest in this span, not from each other; callers reach them still. */
  readonly cut?: TimeRange & { readonly boxes: number };
  /** The last boxes and the first do not reach each other in this span; all others reach both. */
  readonly severed?: TimeRange & { readonly boxes: number };
  /** From then on no box takes itself for connected, until a new one leads them. */
  readonly unledFrom?: Milliseconds;
  /** All boxes lose what they know. */
  readonly restartAt?: Milliseconds;
}

/** One request of the account. */
export interface QuotaArrival {
  readonly at: Milliseconds;
  readonly box: number;
  readonly units: number;
}

export const loadDurationMs: Milliseconds = 30_000;
/** A limit is this much above the usual, so that only an unusual load meets it. */
const limitToMeanRatio = 1.8;
const meanUnits = 9_200;
const maxUnits = 45_000;
const millisecondsPerSecond = 1000;

const hot = { from: 8_000, until: 18_000, times: 7.5 };

const threeBoxes = { from: 7_000, until: 19_000, boxes: 3 };

/** A small account and a large one under each kind of trouble. */
export const quotaLoads: readonly QuotaLoad[] = [29_000, 417_000].flatMap((perSecond) => [
  { name: "usual", boxes: 8, perSecond },
  { name: "hot", boxes: 8, perSecond, hot },
  { name: "hot, 60 boxes", boxes: 60, perSecond, hot },
  {
    name: "gathered at one box",
    boxes: 8,
    perSecond,
    gathered: { from: 8e3, until: 18e3, boxes: 1 },
  },
  { name: "one box cut off", boxes: 8, perSecond, cut: { from: 8e3, until: 16e3, boxes: 1 } },
  {
    name: "hot, one box cut off",
    boxes: 8,
    perSecond,
    hot,
    cut: { from: 9e3, until: 17e3, boxes: 1 },
  },
  { name: "three boxes cut off, in touch with each other", boxes: 8, perSecond, cut: threeBoxes },
  {
    name: "hot, three boxes cut off, in touch with each other",
    boxes: 8,
    perSecond,
    hot,
    cut: threeBoxes,
  },
  { name: "hot, no box connected for a while", boxes: 8, perSecond, hot, unledFrom: 10_000 },
  { name: "hot, three boxes do not reach a fourth", boxes: 8, perSecond, hot, severed: threeBoxes },
  {
    name: "hot soon after the start, a third of 60 boxes cut off",
    boxes: 60,
    perSecond,
    hot: { from: 3_400, until: 13_000, times: 6 },
    cut: { from: 1_000, until: 13_000, boxes: 20 },
  },
  { name: "all restarted", boxes: 8, perSecond, restartAt: 12_000 },
  { name: "hot, all restarted", boxes: 8, perSecond, hot, restartAt: 12_000 },
]);

const isWithin = (at: Milliseconds, span: TimeRange | undefined): boolean =>
  span !== undefined && at >= span.from && at < span.until;

/** Time without a box that leads the others: its silence has to be noticed, and its lease to run out. */
const leaderlessMs: Milliseconds = 2_000;

export function isLeaderless({ unledFrom }: QuotaLoad, at: Milliseconds): boolean {
  return unledFrom !== undefined && at >= unledFrom && at < unledFrom + leaderlessMs;
}

export function isIsolated({ cut }: QuotaLoad, box: number, at: Milliseconds): boolean {
  return cut !== undefined && box < cut.boxes && isWithin(at, cut);
}

export function isPartitioned(
  { severed, boxes }: QuotaLoad,
  one: number,
  other: number,
  at: Milliseconds,
): boolean {
  if (severed === undefined || !isWithin(at, severed)) return false;
  const [first, last] = [Math.min(one, other), Math.max(one, other)];
  return first === 0 && last >= boxes - severed.boxes;
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.fraction()) * mean;
}

/** Requests of a load, in the order of time. */
export function generateArrivals(load: QuotaLoad, seed: number): readonly QuotaArrival[] {
  const random = seededRandom(seed);
  const meanGapMs = (meanUnits * millisecondsPerSecond * limitToMeanRatio) / load.perSecond;
  const arrivals: QuotaArrival[] = [];
  for (let at = 0; at < loadDurationMs;) {
    at += exponential(random, meanGapMs / (isWithin(at, load.hot) ? (load.hot?.times ?? 1) : 1));
    const boxes = isWithin(at, load.gathered) ? (load.gathered?.boxes ?? 1) : load.boxes;
    const units = Math.ceil(Math.min(maxUnits, exponential(random, meanUnits)));
    arrivals.push({ at, box: random.below(boxes), units });
  }
  return arrivals;
}
