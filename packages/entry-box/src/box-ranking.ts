/** The order in which boxes take up work that few of them do: strong ones first, the rest by hash. */
import { rankNodes } from "@linkfall/rendezvous";

export interface RankedBox {
  readonly box: string;
  readonly capacity: number;
}

const rankingKey = "orders";

/** Names of the boxes, the first to act first. Boxes that know the same others rank them alike. */
export function rankBoxes(boxes: readonly RankedBox[]): readonly string[] {
  const capacities = new Map(boxes.map(({ box, capacity }) => [box, capacity]));
  const hashed = rankNodes(rankingKey, [...capacities.keys()]);
  const capacityOf = (box: string) => capacities.get(box) ?? 0;
  return [...hashed].sort((left, right) => capacityOf(right) - capacityOf(left));
}
