/** Reports received from one other box, for the engines that it polls. */
import type { HeldPlacement, ReportsReply } from "@linkfall/ports";
import type { EngineReport, Incarnation, Milliseconds, ReportPlacement } from "@linkfall/types";

/** A placement with the version assigned by the other box. */
interface ReceivedPlacement {
  readonly version: number;
  readonly placement: ReportPlacement;
}

/** A report reassembled from its load and its placement. */
export interface ReceivedReport {
  readonly report: EngineReport;
  /** Earliest time, by this box's clock, at which the report can have been requested from the engine. */
  readonly requestedAt: Milliseconds;
}

/** Reports received from one other box. */
export interface IncomingReports {
  /** Incarnation of the other box that the cached placements are from; empty if there are none. */
  heldFrom(): Incarnation;
  /** Versions of the cached placements, by engine. */
  held(): readonly HeldPlacement[];
  /** Applies the reply to a request sent at `askedAt`; reports without a matching placement are dropped. */
  applyReply(reply: ReportsReply, askedAt: Milliseconds): readonly ReceivedReport[];
}

/** Creates the state for another box, without reports. */
export function createIncomingReports(): IncomingReports {
  const placements = new Map<string, ReceivedPlacement>();
  let heldFrom: Incarnation = "";

  /** Drops cached placements after a restart, as versions are only unique within an incarnation. */
  const checkIncarnation = (from: Incarnation) => {
    if (from !== heldFrom) placements.clear();
    heldFrom = from;
  };

  return {
    heldFrom: () => heldFrom,
    held: () =>
      [...placements].map(([engine, { version }]) => ({ engine, placementVersion: version })),
    applyReply(reply, askedAt) {
      checkIncarnation(reply.from);
      return reply.reports.flatMap(({ load, ageMs, placementVersion, placement }) => {
        const cached = placements.get(load.engine);
        if (placement) placements.set(load.engine, { version: placementVersion, placement });
        else if (cached?.version !== placementVersion) return [];
        const currentPlacement = placement ?? cached?.placement;
        if (!currentPlacement) return [];
        // The reply was created after `askedAt`, so the report is no older than this.
        return [{ report: { ...load, ...currentPlacement }, requestedAt: askedAt - ageMs }];
      });
    },
  };
}
