/** Tracks up to when the lease holder has planned loads for the demand in this box's heartbeats. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface PlannedDemand {
  /** Records a heartbeat that carries this box's demand to the lease holder. */
  recordHeartbeat(beat: number): void;
  /** Records the newest planned heartbeat; undefined from a holder that does not report it. */
  recordPlanned(beat: number | undefined): void;
  /** Time up to which demand has been planned; -Infinity if none has. */
  decidedAt(): Milliseconds;
}

/** Heartbeats to remember; a holder reports on the newest one that has reached it. */
const maxHeartbeats = 16;

/** Creates the tracker of one box. */
export function createPlannedDemand(clock: Clock): PlannedDemand {
  const sentAtByBeat = new Map<number, Milliseconds>();
  let decidedAt = -Infinity;
  return {
    recordHeartbeat(beat) {
      sentAtByBeat.set(beat, clock.now());
      const [oldest] = sentAtByBeat.keys();
      if (sentAtByBeat.size > maxHeartbeats) sentAtByBeat.delete(oldest);
    },
    recordPlanned(beat) {
      const plannedAt = beat === undefined ? clock.now() : sentAtByBeat.get(beat);
      decidedAt = Math.max(decidedAt, plannedAt ?? -Infinity);
    },
    decidedAt: () => decidedAt,
  };
}
