/** Claims of the order lease and their epochs. */
import type { StoreGeneration } from "@linkfall/ports";
import type { Epoch, Incarnation, Offset } from "@linkfall/types";

export const firstOffset: Offset = 0;
/** Epoch before the first claim. */
export const noClaimEpoch: Epoch = 0;
/** Epochs per generation, which exceeds the number of claims that one can have. */
const epochsPerGeneration = 2 ** 32;

/** The newest claim known to a box. */
export interface Claim {
  readonly holder: Incarnation;
  /** Epoch of the claim; 0 before the first. */
  readonly epoch: Epoch;
}

/** Returns the epoch of a claim. It grows with each claim, although a store that goes back assigns its offsets again. */
export function epochOf(generation: StoreGeneration, offset: Offset): Epoch {
  return generation * epochsPerGeneration + offset + 1;
}
