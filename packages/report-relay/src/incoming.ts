/** What one other box has told of the engines that it reads. */
import type { HeldPlacement, ReportsReply } from "@linkfall/ports";
import type { EngineReport, Incarnation, Milliseconds, ReportPlacement } from "@linkfall/types";

/** A placement as the other box numbered it. */
interface ReceivedPlacement {
  readonly version: number;
  readonly placement: ReportPlacement;
}

/** A report put together again. */
export interface ReceivedReport {
  readonly report: EngineReport;
  /** A time by this box's clock before which the report was not asked for. */
  readonly requestedAt: Milliseconds;
}

/** Reports of one other box. */
export interface IncomingReports {
  /** The start of the other box whose placements are held; empty when none are. */
  heldFrom(): Incarnation;
  held(): readonly HeldPlacement[];
  /** Takes an answer to a request that was sent at `askedAt`. */
  applyReply(reply: ReportsReply, askedAt: Milliseconds): readonly ReceivedReport[];
}

/** Creates the reports of one other box; none has come. */
export function createIncomingReports(): IncomingReports {
  const placements = new Map<string, ReceivedPlacement>();
  let heldFrom: Incarnation = "";

  /** Numbers of an earlier start mean nothing to a later one. */
  const noteStart = (from: Incarnation) => {
    if (from !== heldFrom) placements.clear();
    heldFrom = from;
  };

  return {
    heldFrom: () => heldFrom,
    held: () =>
      [...placements].map(([engine, { version }]) => ({ engine, placementVersion: version })),
    applyReply(reply, askedAt) {
      noteStart(reply.from);
      return reply.reports.flatMap(({ load, ageMs, placementVersion, placement }) => {
        const known = placements.get(load.engine);
        if (placement) placements.set(load.engine, { version: placementVersion, placement });
        else if (known?.version !== placementVersion) return [];
        const whole = placement ?? known?.placement;
        if (!whole) return [];
        // The answer was made after it was asked for, so the report is at most this old.
        return [{ report: { ...load, ...whole }, requestedAt: askedAt - ageMs }];
      });
    },
  };
}
