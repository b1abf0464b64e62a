/** Determines whether answers of the store continue an uninterrupted reading of the target list. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

/** Uninterrupted reading of the target list by one box. */
export interface ListContinuity {
  /**
   * Whether the answer that is being handled contains only changes made while the list was read. The first answer after an
   * interruption also contains those made during it. Undefined before the first answer to this box.
   */
  isContinuous(): boolean | undefined;
  /** Whether the time since the latest answer is an interruption, even if no read failed. */
  hasGap(): boolean;
  /** Records an answer that has been handled; `isWhole`: the list was applied up to its end at that time. */
  recordAnswer(isWhole: boolean): void;
  /** Records that a read failed, or that the store has come back from an older copy. */
  recordInterruption(): void;
  /** Records that this box does not read the list any more. */
  recordEnd(): void;
}

/** Creates the state of a box that has not read the list; a longer time between two answers is an interruption. */
export function createListContinuity(clock: Clock, maxGapMs: Milliseconds): ListContinuity {
  /** Time of the latest answer, by `Clock.elapsed`; absent if this box does not read the list. */
  let answeredAt: Milliseconds | undefined;
  let isCaughtUp = false;

  const hasGap = () => clock.elapsed() - (answeredAt ?? Infinity) > maxGapMs;
  return {
    isContinuous: () => (answeredAt === undefined ? undefined : isCaughtUp && !hasGap()),
    hasGap,
    recordAnswer(isWhole) {
      isCaughtUp = isWhole || (isCaughtUp && !hasGap());
      answeredAt = clock.elapsed();
    },
    recordInterruption() {
      isCaughtUp = false;
    },
    recordEnd() {
      isCaughtUp = false;
      answeredAt = undefined;
    },
  };
}
