/** What this box tells the others, and what it takes from their words. */
import type { BoxWord, HeardBox, HolderWord } from "@linkfall/box-peers";
import type { Fleet, TargetLoad } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { Holdings, Milliseconds } from "@linkfall/types";

/** This box's requests by target, without targets that have none. */
export function ownLoads(fleet: Fleet): Readonly<Record<string, TargetLoad>> {
  const busy = fleet.all().filter(({ own }) => own.inFlight > 0 || own.promptTokens > 0);
  return Object.fromEntries(busy.map(({ listed, own }) => [listed.id, own]));
}

/** Requests of the other boxes by target. */
export function othersLoads(heard: readonly HeardBox[]): ReadonlyMap<string, TargetLoad> {
  const sums = new Map<string, TargetLoad>();
  for (const { word } of heard) {
    for (const [id, load] of Object.entries(word.loads)) {
      const sum = sums.get(id) ?? { inFlight: 0, promptTokens: 0 };
      sums.set(id, {
        inFlight: sum.inFlight + load.inFlight,
        promptTokens: sum.promptTokens + load.promptTokens,
      });
    }
  }
  return sums;
}

/** Numbers the changes of engines, so that each reader gets only what it lacks. */
export interface EngineVersions {
  /** What changed after `since`, and the newest version. */
  changesAfter(since: number): Pick<HolderWord, "engines" | "version">;
}

interface Numbered {
  readonly holdings: Holdings;
  readonly version: number;
}

export function createEngineVersions(fleet: Fleet): EngineVersions {
  let version = 0;
  const numbered = new Map<string, Numbered>();
  const renumber = () => {
    for (const { listed, holdings, state } of fleet.all()) {
      if (!state || numbered.get(listed.id)?.holdings === holdings) continue;
      version += 1;
      numbered.set(listed.id, { holdings, version });
    }
    for (const id of numbered.keys()) {
      if (!fleet.find(id)) numbered.delete(id);
    }
  };
  return {
    changesAfter(since) {
      renumber();
      const changed = [...numbered].filter(([, entry]) => entry.version > since);
      return { version, engines: changed.map(([id, { holdings }]) => ({ id, holdings })) };
    },
  };
}

/** Takes the engines' holdings from the holder's word. */
export function takeHolderWord(fleet: Fleet, word: HolderWord): void {
  fleet.withhold(new Map(Object.entries(word.withheld)));
  for (const { id, holdings } of word.engines) fleet.takeHoldings(id, holdings);
}

/** Whether a word shows requests that wait for weights. */
export function hasWaiting(word: BoxWord): boolean {
  return word.demand.some(
    (demand) => demand.waiting > 0 || Object.keys(demand.waitingAdapters).length > 0,
  );
}

/** Models that nobody has asked for in this time are left out of a word. */
const recentMs: Milliseconds = 3_000;

/** The part of a box's demand that others have to hear. */
export function recentDemand(demand: readonly ModelDemand[]): readonly ModelDemand[] {
  return demand.filter((entry) => entry.idleMs < recentMs);
}
