/** Selects the boxes whose addresses a caller receives. */

/** A box that accepts requests from callers. */
export interface EntryCandidate {
  readonly address: string;
  readonly domain: string;
  /** Processor capacity, in cores of the reference speed. */
  readonly capacity: number;
  /** Whether its processor is close to full utilization. */
  readonly strained: boolean;
}

/** With fewer candidates than this, the selection is widened. */
const minEntries = 2;
/** Boxes with at least this fraction of the highest capacity count as strong. */
const strongCapacityRatio = 0.5;
/** Above this fraction of strained strong boxes, the others are used as well. */
const maxStrainedFraction = 0.5;

/** Minimum capacity of a strong box. */
export function strongCapacityThreshold(
  boxes: readonly Pick<EntryCandidate, "capacity">[],
): number {
  return Math.max(0, ...boxes.map((box) => box.capacity)) * strongCapacityRatio;
}

/**
 * The strong boxes that are not strained while few of them are, else all: fewer boxes each have a more complete view of the load,
 * and a strained one accepts connections late.
 */
function preferredBoxes(
  boxes: readonly EntryCandidate[],
  minCapacity: number,
): readonly EntryCandidate[] {
  const strong = boxes.filter((box) => box.capacity >= minCapacity);
  const rested = strong.filter((box) => !box.strained);
  const strainedCount = strong.length - rested.length;
  return strainedCount > strong.length * maxStrainedFraction ? boxes : rested;
}

/** Addresses for a caller: preferred boxes of its failure domain if there are enough, else of all domains. */
export function chooseEntries(
  boxes: readonly EntryCandidate[],
  domain?: string,
): readonly string[] {
  const inDomain = boxes.filter((box) => box.domain === domain);
  const minCapacity = strongCapacityThreshold(boxes);
  const choices = [
    preferredBoxes(inDomain, minCapacity),
    preferredBoxes(boxes, minCapacity),
    inDomain,
  ];
  const chosen = choices.find((choice) => choice.length >= minEntries) ?? boxes;
  return chosen.map((box) => box.address);
}
