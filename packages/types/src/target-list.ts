/** Positions in the target list, and where changes of it come from. */
import type { Offset } from "./identifiers.js";

/** How far a box knows the target list, comparable across returns of the store from an older copy. */
export interface ListPosition {
  /** Offset after the last known record. */
  readonly end: Offset;
  /** How often the store has come back from an older copy. */
  readonly generation: number;
}

/** Whether `left` is behind `right`, which has read later records or a later generation of the store. */
export function isBehind(left: ListPosition, right: ListPosition): boolean {
  if (left.generation !== right.generation) return left.generation < right.generation;
  return left.end < right.end;
}

/** Where a change of the target list comes from. */
export interface ListSource {
  /** Whether this box read the change from the store, or another box sent it. */
  readonly readFrom: "store" | "box";
  /** Position after the change. */
  readonly position: ListPosition;
  /**
   * Whether the change continues an uninterrupted reading of the list. Entries that lapsed because their targets could not
   * reach the store disappear before the reading goes on.
   */
  readonly isContinuous: boolean;
}
