/**
 * Number of boxes of which a majority confirms an outage of the log: the boxes known or listed when the log was last
 * reachable. Boxes that become silent later still count, since an isolated box would otherwise form its own majority.
 */

export interface Electorate {
  /** Sets the number of known boxes; while the log is unreachable the size never shrinks. */
  update(boxes: number, logReachable: boolean): void;
  size(): number;
}

/** Creates an electorate that consists of this box only. */
export function createElectorate(): Electorate {
  let size = 1;
  return {
    update(boxes, logReachable) {
      size = logReachable ? boxes : Math.max(size, boxes);
    },
    size: () => size,
  };
}
