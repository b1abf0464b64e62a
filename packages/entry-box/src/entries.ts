/** Which boxes a caller is told of. */

/** One box that takes callers. */
export interface EntryCandidate {
  readonly address: string;
  readonly domain: string;
  /** What it can carry, in cores of one speed. */
  readonly capacity: number;
  /** It has little of its processor left. */
  readonly strained: boolean;
}

/** With fewer boxes than this to choose from, a caller is told of more. */
const minEntries = 2;
/** Boxes with this share of the strongest one's capacity are strong as well. */
const strongCapacityRatio = 0.5;
/** With this share of the strong boxes strained, the others are needed too. */
const maxStrainedFraction = 0.5;

/** Capacity from which on a box counts as strong. */
export function strongCapacityThreshold(
  boxes: readonly Pick<EntryCandidate, "capacity">[],
): number {
  return Math.max(0, ...boxes.map((box) => box.capacity)) * strongCapacityRatio;
}

/** The boxes that are to take requests while they can carry them: few that know much serve better
 * than many that know little. */
function preferredBoxes(boxes: readonly EntryCandidate[], from: number): readonly EntryCandidate[] {
  const strong = boxes.filter((box) => box.capacity >= from);
  const strained = strong.filter((box) => box.strained);
  return strained.length > strong.length * maxStrainedFraction ? boxes : strong;
}

/** Addresses for a caller: strong boxes of its failure domain where there are enough, else of all. */
export function chooseEntries(
  boxes: readonly EntryCandidate[],
  domain?: string,
): readonly string[] {
  const near = boxes.filter((box) => box.domain === domain);
  const from = strongCapacityThreshold(boxes);
  const choices = [preferredBoxes(near, from), preferredBoxes(boxes, from), near];
  const chosen = choices.find((choice) => choice.length >= minEntries) ?? boxes;
  return chosen.map((box) => box.address);
}
