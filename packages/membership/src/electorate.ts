/**
 * The boxes whose majority confirms an outage of the log: those that were known, or listed, when the log was last in reach.
 * Those that fall silent after that still count: a box that forgets all others would otherwise take itself for the majority.
 */

export interface Electorate {
  /** Takes the number of boxes that are known now. Without the log in reach it may grow, but not shrink. */
  update(boxes: number, logInReach: boolean): void;
  size(): number;
}

/** Creates the electorate of a box that knows only itself. */
export function createElectorate(): Electorate {
  let size = 1;
  return {
    update(boxes, logInReach) {
      size = logInReach ? boxes : Math.max(size, boxes);
    },
    size: () => size,
  };
}
