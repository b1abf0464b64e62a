/** How far one box has followed the news of each other one. News are numbered by the box that tells them. */
import type { Incarnation } from "@linkfall/types";

export interface FollowedNews {
  /** Number of the newest news that was taken from the other box; 0 before the first. */
  of(other: Incarnation): number;
  note(other: Incarnation, number: number): void;
}

/** Starts of boxes that are followed; the oldest are let go of first. */
const mostFollowed = 2_000;

/** Creates a record that has followed nobody. */
export function createFollowedNews(): FollowedNews {
  const numbers = new Map<Incarnation, number>();
  return {
    of: (other) => numbers.get(other) ?? 0,
    note(other, number) {
      numbers.delete(other);
      numbers.set(other, number);
      if (numbers.size > mostFollowed) numbers.delete(numbers.keys().next().value ?? "");
    },
  };
}
