/** Reports sent to other boxes, for the engines that this box polls itself. */
import type { RelayedReport, ReportsRequest } from "@linkfall/ports";
import type { EngineReportRecord } from "@linkfall/target-watch";
import type { Milliseconds, ReportLoad, ReportPlacement } from "@linkfall/types";

/** The newest placement of an engine; the version grows with each change. */
interface VersionedPlacement {
  readonly text: string;
  readonly version: number;
}

/** Reports of one box for other boxes. */
export interface OutgoingReports {
  /** Prepares reports for a box, omitting placements that it holds in their current version. */
  answer(
    reports: readonly EngineReportRecord[],
    held: ReportsRequest["held"],
    now: Milliseconds,
  ): readonly RelayedReport[];
}

function splitReport({ report }: EngineReportRecord): {
  load: ReportLoad;
  placement: ReportPlacement;
} {
  const { engineIncarnation, fence, role, residents, settledOrders, ...load } = report;
  return { load, placement: { engineIncarnation, fence, role, residents, settledOrders } };
}

/** Creates the outgoing reports of one incarnation; placement versions are only valid within it. */
export function createOutgoingReports(): OutgoingReports {
  const newestPlacements = new Map<string, VersionedPlacement>();

  const versionOf = (engine: string, placement: ReportPlacement): number => {
    const text = JSON.stringify(placement);
    const known = newestPlacements.get(engine);
    if (known?.text === text) return known.version;
    const version = (known?.version ?? 0) + 1;
    newestPlacements.set(engine, { text, version });
    return version;
  };

  return {
    answer(reports, held, now) {
      const heldVersions = new Map(held.map((entry) => [entry.engine, entry.placementVersion]));
      return reports.map((watched) => {
        const { load, placement } = splitReport(watched);
        const placementVersion = versionOf(load.engine, placement);
        const ageMs = now - watched.requestedAt;
        const isHeld = heldVersions.get(load.engine) === placementVersion;
        return { load, ageMs, placementVersion, placement: isHeld ? undefined : placement };
      });
    },
  };
}
