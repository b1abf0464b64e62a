/** Tracks the latest update received from each other box. Updates are numbered by their sender. */
import type { Incarnation } from "@linkfall/types";

/** Latest received update numbers, by the sender's incarnation. */
export interface ReceivedUpdates {
  /** Returns the number of the latest update received from the sender; 0 before the first. */
  latestFrom(sender: Incarnation): number;
  /** Records the number of an update received from the sender. */
  record(sender: Incarnation, number: number): void;
}

/** Limit of tracked incarnations; the least recently updated are dropped. */
const maxTrackedIncarnations = 2_000;

/** Creates a tracker without received updates. */
export function createReceivedUpdates(): ReceivedUpdates {
  const numbers = new Map<Incarnation, number>();
  return {
    latestFrom: (sender) => numbers.get(sender) ?? 0,
    record(sender, number) {
      numbers.delete(sender);
      numbers.set(sender, number);
      if (numbers.size > maxTrackedIncarnations) numbers.delete(numbers.keys().next().value ?? "");
    },
  };
}
