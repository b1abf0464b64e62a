/** What this box tells others of the engines that it reads itself. */
import type { RelayedReport, ReportsRequest } from "@linkfall/ports";
import type { EngineReportRecord } from "@linkfall/target-watch";
import type { Milliseconds, ReportLoad, ReportPlacement } from "@linkfall/types";

/** A placement that was seen, and how many there were before it. */
interface VersionedPlacement {
  readonly text: string;
  readonly version: number;
}

/** Reports of one box for the others. */
export interface OutgoingReports {
  /** The answer to a box that holds some placements of this one's numbering. */
  answer(
    reports: readonly EngineReportRecord[],
    held: ReportsRequest["held"],
    now: Milliseconds,
  ): readonly RelayedReport[];
}

function split({ report }: EngineReportRecord): { load: ReportLoad; placement: ReportPlacement } {
  const { engineIncarnation, fence, role, residents, settledOrders, ...load } = report;
  return { load, placement: { engineIncarnation, fence, role, residents, settledOrders } };
}

/** Creates the outgoing reports of one process start; its numbering ends with it. */
export function createOutgoingReports(): OutgoingReports {
  const numbered = new Map<string, VersionedPlacement>();

  const versionOf = (engine: string, placement: ReportPlacement): number => {
    const text = JSON.stringify(placement);
    const known = numbered.get(engine);
    if (known?.text === text) return known.version;
    const version = (known?.version ?? 0) + 1;
    numbered.set(engine, { text, version });
    return version;
  };

  return {
    answer(reports, held, now) {
      const heldVersions = new Map(held.map((entry) => [entry.engine, entry.placementVersion]));
      return reports.map((watched) => {
        const { load, placement } = split(watched);
        const placementVersion = versionOf(load.engine, placement);
        const ageMs = now - watched.requestedAt;
        const isHeld = heldVersions.get(load.engine) === placementVersion;
        return { load, ageMs, placementVersion, placement: isHeld ? undefined : placement };
      });
    },
  };
}
