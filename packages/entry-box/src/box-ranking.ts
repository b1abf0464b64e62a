/** The order in which boxes take up work that few of them do: strong ones first, the rest by hash. */
import { rankNodes } from "@linkfall/rendezvous";

export interface RankedBox {
  readonly box: string;
  readonly capacity: number;
}

export interface BoxInDomain extends RankedBox {
  readonly domain: string;
}

const rankingKey = "orders";

/** Names of the boxes, the first to act first. Boxes that know the same others rank them alike. */
export function rankBoxes(boxes: readonly RankedBox[]): readonly string[] {
  const capacities = new Map(boxes.map(({ box, capacity }) => [box, capacity]));
  const hashed = rankNodes(rankingKey, [...capacities.keys()]);
  const capacityOf = (box: string) => capacities.get(box) ?? 0;
  return [...hashed].sort((left, right) => capacityOf(right) - capacityOf(left));
}

/**
 * Names of the boxes that read the store for all: the first in rank, then the first of each further failure
 * domain, so that none of these takes all of them along; the next in rank where there are fewer domains.
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
