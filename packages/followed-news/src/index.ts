/** How far one box has followed the news of each other one. News are numbered by the box that tells them. */
import type { Incarnation } from "@linkfall/types";

export interface ReceivedUpdates {
  /** Number of the newest news that was taken from the other box; 0 before the first. */
  latestFrom(other: Incarnation): number;
  record(other: Incarnation, number: number): void;
}

/** Starts of boxes that are followed; the oldest are let go of first. */
const maxTrackedIncarnations = 2_000;

/** Creates a record that has followed nobody. */
export function createReceivedUpdates(): ReceivedUpdates {
  const numbers = new Map<Incarnation, number>();
  return {
    latestFrom: (other) => numbers.get(other) ?? 0,
    record(other, number) {
      numbers.delete(other);
      numbers.set(other, number);
      if (numbers.size > maxTrackedIncarnations) numbers.delete(numbers.keys().next().value ?? "");
    },
  };
}
