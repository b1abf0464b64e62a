/** How far a box knows the target list, comparable across returns of the store from an older copy. */
import type { StoreGeneration } from "@linkfall/ports";
import type { Offset } from "@linkfall/types";

/** How far a box knows the target list. */
export interface TargetsPosition {
  readonly end: Offset;
  readonly generation: StoreGeneration;
}

/** Whether `left` is behind `right`, which has read later records or a later generation of the store. */
export function isBehind(left: TargetsPosition, right: TargetsPosition): boolean {
  if (left.generation !== right.generation) return left.generation < right.generation;
  return left.end < right.end;
}
