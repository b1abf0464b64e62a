/** Ranks boxes for work that only a few of them do: by capacity, then by hash. */
import { rankNodes } from "@linkfall/rendezvous";

export interface RankedBox {
  readonly box: string;
  readonly capacity: number;
}

export interface BoxInDomain extends RankedBox {
  readonly domain: string;
}

const rankingKey = "orders";

/** Box names in order of preference. Boxes with the same view of the members compute the same ranking. */
export function rankBoxes(boxes: readonly RankedBox[]): readonly string[] {
  const capacities = new Map(boxes.map(({ box, capacity }) => [box, capacity]));
  const hashed = rankNodes(rankingKey, [...capacities.keys()]);
  const capacityOf = (box: string) => capacities.get(box) ?? 0;
  return [...hashed].sort((left, right) => capacityOf(right) - capacityOf(left));
}

function isSameBox(left: BoxInDomain, right: BoxInDomain): boolean {
  return left.box === right.box && left.capacity === right.capacity && left.domain === right.domain;
}

/**
 * Returns {@link chooseReaders} with its latest choice kept, since boxes change far less often than readers are asked for.
 */
export function createReaderChoice(): typeof chooseReaders {
  let known:
    { boxes: readonly BoxInDomain[]; count: number; chosen: readonly string[] } | undefined;
  return (boxes, count) => {
    const isSame =
      known?.count === count &&
      known.boxes.length === boxes.length &&
      known.boxes.every((box, index) => isSameBox(box, boxes[index]));
    if (!known || !isSame) known = { boxes, count, chosen: chooseReaders(boxes, count) };
    return known.chosen;
  };
}

/**
 * Names of the boxes that read the store on behalf of all: the highest-ranked box of each failure domain, so that
 * one domain's failure does not stop all reads, then the remaining boxes by rank.
 */
export function chooseReaders(boxes: readonly BoxInDomain[], count: number): readonly string[] {
  const domainOf = new Map(boxes.map(({ box, domain }) => [box, domain]));
  const ranked = rankBoxes(boxes);
  const domains = new Set<string>();
  const firstOfDomain = ranked.filter((box) => {
    const domain = domainOf.get(box) ?? "";
    const isFirst = !domains.has(domain);
    domains.add(domain);
    return isFirst;
  });
  const rest = ranked.filter((box) => !firstOfDomain.includes(box));
  return [...firstOfDomain, ...rest].slice(0, count);
}
