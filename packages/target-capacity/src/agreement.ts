/** Residuals of the latest observations, which are followed at once if they agree with each other. */

export interface Residual {
  /** Deviation from the expected value. */
  value: number;
  /** Who or what it was observed at; evidence must not come from one source alone. */
  readonly source: string;
}

/** Residuals kept, and observations from one source alone after which that source is believed. */
const keptResiduals = 6;

const minElsewhere = 2;

export interface Agreement {
  add(value: number, source: string): void;
  /**
   * Returns the smallest of the latest residuals if `up` or `down` of them exceed `threshold` in one direction, else 0. The
   * smallest is what all of them support, so that a single outlier moves nothing.
   */
  shift(threshold: number): number;
  /** Whether the sources are evidence together: more than one, or the only one that observes at all. */
  isSupportedBy(sources: ReadonlySet<string>): boolean;
  /** Whether most residuals of other sources, and at least two, exceed `threshold`. */
  isExceededElsewhere(source: string, threshold: number): boolean;
  /** Subtracts a shift that has been applied to the expected value. */
  subtract(shift: number): void;
}

/**
 * @param up number of residuals that have to agree on an increase, from at least two sources if there are others
 * @param down number of residuals that have to agree on a decrease
 */
export function createAgreement(up: number, down: number): Agreement {
  const residuals: Residual[] = [];
  const isSupportedBy = (sources: ReadonlySet<string>): boolean =>
    sources.size > 1 ||
    (residuals.length >= keptResiduals && residuals.every(({ source }) => sources.has(source)));
  const smallest = (count: number, sign: number): number => {
    if (residuals.length < count) return 0;
    let least = Infinity;
    for (let index = residuals.length - count; index < residuals.length; index++) {
      least = Math.min(least, sign * residuals[index].value);
    }
    return least;
  };
  return {
    add(value, source) {
      residuals.push({ value, source });
      if (residuals.length > keptResiduals) residuals.shift();
    },
    shift(threshold) {
      const decrease = smallest(down, -1);
      if (decrease > threshold) return -decrease;
      const increase = smallest(up, 1);
      if (increase <= threshold) return 0;
      return isSupportedBy(new Set(residuals.slice(-up).map(({ source }) => source)))
        ? increase
        : 0;
    },
    isSupportedBy,
    isExceededElsewhere(source, threshold) {
      let others = 0;
      let exceeding = 0;
      for (const residual of residuals) {
        if (residual.source === source) continue;
        others += 1;
        if (residual.value > threshold) exceeding += 1;
      }
      return exceeding >= minElsewhere && exceeding * 2 > others;
    },
    subtract(shift) {
      for (const residual of residuals) residual.value -= shift;
    },
  };
}
