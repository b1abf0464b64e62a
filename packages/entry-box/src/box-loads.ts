/** Load that boxes put on targets, and sums of it over boxes. */
import type { BoxStatus } from "@linkfall/box-peers";
import type { Fleet, TargetLoad } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { Milliseconds } from "@linkfall/types";

/** Load by target id. */
export type LoadByTarget = Readonly<Record<string, TargetLoad>>;

/** This box's load on each target; targets without load are omitted. */
export function ownLoads(fleet: Fleet): LoadByTarget {
  const busy = fleet.all().filter(({ ownLoad: own }) => own.inFlight > 0 || own.promptTokens > 0);
  return Object.fromEntries(busy.map(({ listed, ownLoad: own }) => [listed.id, own]));
}

/** Sums the loads of several boxes by target. */
export function sumLoads(loads: readonly LoadByTarget[]): Map<string, TargetLoad> {
  const sums = new Map<string, TargetLoad>();
  for (const [id, load] of loads.flatMap((entry) => Object.entries(entry))) {
    const sum = sums.get(id);
    sums.set(id, {
      inFlight: (sum?.inFlight ?? 0) + load.inFlight,
      promptTokens: (sum?.promptTokens ?? 0) + load.promptTokens,
    });
  }
  return sums;
}

/** Subtracts one box's loads from a sum; targets without remaining load are omitted. */
export function subtractLoads(
  sums: ReadonlyMap<string, TargetLoad>,
  loads: LoadByTarget,
): LoadByTarget {
  const rest = [...sums].map(([id, sum]) => {
    const own = loads[id];
    const inFlight = Math.max(0, sum.inFlight - (own?.inFlight ?? 0));
    const promptTokens = Math.max(0, sum.promptTokens - (own?.promptTokens ?? 0));
    return [id, { inFlight, promptTokens }] as const;
  });
  return Object.fromEntries(rest.filter(([, load]) => load.inFlight + load.promptTokens > 0));
}

/** Whether a box has requests waiting for model weights to load. */
export function hasWaitingRequests(status: BoxStatus | undefined): boolean {
  if (!status) return false;
  return status.demand.some(
    (demand) =>
      demand.waiting > 0 ||
      Object.keys(demand.waitingAdapters).length > 0 ||
      (demand.confinedWaits?.length ?? 0) > 0,
  );
}

/** Models without a request within this time are omitted from heartbeats. */
const recentDemandWindowMs: Milliseconds = 3_000;

/** The entries of a box's demand that the lease holder needs for placement. */
export function recentDemand(demand: readonly ModelDemand[]): readonly ModelDemand[] {
  return demand.filter((entry) => entry.idleMs < recentDemandWindowMs);
}
