/** Work of boxes at targets: sums over boxes, and one box's part taken out of a sum. */
import type { BoxStatus } from "@linkfall/box-peers";
import type { Fleet, TargetLoad } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { Milliseconds } from "@linkfall/types";

export type LoadByTarget = Readonly<Record<string, TargetLoad>>;

/** This box's requests by target, without targets that have none. */
export function ownLoads(fleet: Fleet): LoadByTarget {
  const busy = fleet.all().filter(({ ownLoad: own }) => own.inFlight > 0 || own.promptTokens > 0);
  return Object.fromEntries(busy.map(({ listed, ownLoad: own }) => [listed.id, own]));
}

/** Requests of several boxes by target. */
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

/** A sum without one box's part; targets that are left without work are left out. */
export function subtractLoads(
  sums: ReadonlyMap<string, TargetLoad>,
  part: LoadByTarget,
): LoadByTarget {
  const rest = [...sums].map(([id, sum]) => {
    const own = part[id];
    const inFlight = Math.max(0, sum.inFlight - (own?.inFlight ?? 0));
    const promptTokens = Math.max(0, sum.promptTokens - (own?.promptTokens ?? 0));
    return [id, { inFlight, promptTokens }] as const;
  });
  return Object.fromEntries(rest.filter(([, load]) => load.inFlight + load.promptTokens > 0));
}

/** Whether a box has requests that wait for weights. */
export function hasWaitingRequests(status: BoxStatus | undefined): boolean {
  if (!status) return false;
  return status.demand.some(
    (demand) => demand.waiting > 0 || Object.keys(demand.waitingAdapters).length > 0,
  );
}

/** Models that nobody has asked for in this time are left out of a heartbeat. */
const recentDemandWindowMs: Milliseconds = 3_000;

/** The part of a box's demand that the order giver has to hear. */
export function recentDemand(demand: readonly ModelDemand[]): readonly ModelDemand[] {
  return demand.filter((entry) => entry.idleMs < recentDemandWindowMs);
}
