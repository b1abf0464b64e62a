/** What a running box does about settings that change. */
import type { Peers } from "@linkfall/box-peers";
import type { EntrySettings } from "@linkfall/entry-settings";
import type { Logger } from "@linkfall/logger";
import { changedKeys } from "@linkfall/settings-watch";

/** What a new reading of the settings brings, by what a running box can do about it. */
export interface SettingsChange {
  /** Peer addresses that no earlier reading named. */
  readonly newSeeds: readonly string[];
  /** Other keys that differ from what the box runs with, as `section.key`; they hold from the next start on. */
  readonly atNextStart: readonly string[];
}

const seedsKey = "box.seeds";

/** Compares a reading with the settings of the start and the seeds that are known by now. */
export function planSettingsChange(
  atStart: EntrySettings,
  knownSeeds: ReadonlySet<string>,
  read: EntrySettings,
): SettingsChange {
  return {
    newSeeds: read.box.seeds.filter((seed) => !knownSeeds.has(seed)),
    atNextStart: changedKeys(atStart, read).filter((key) => key !== seedsKey),
  };
}

/** Tells the box of others that may be up; their names come with their first heartbeat. */
export function addSeeds(peers: Pick<Peers, "learn">, addresses: readonly string[]): void {
  for (const peerAddress of addresses) peers.addPeer({ box: "seed", peerAddress });
}

/** Creates what takes each further reading of the settings, in their order. */
export function createSettingsUpdater(
  atStart: EntrySettings,
  peers: Pick<Peers, "learn">,
  logger: Logger,
): (read: EntrySettings) => void {
  const knownSeeds = new Set(atStart.box.seeds);
  return (read) => {
    const { newSeeds, atNextStart } = planSettingsChange(atStart, knownSeeds, read);
    for (const seed of newSeeds) knownSeeds.add(seed);
    addSeeds(peers, newSeeds);
    logger.event("settingsChanged", {
      newSeeds: newSeeds.join(" "),
      atNextStart: atNextStart.join(" "),
    });
  };
}
