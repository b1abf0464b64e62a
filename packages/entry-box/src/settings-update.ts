/** Applies changed settings to a running box. */
import type { Peers } from "@linkfall/box-peers";
import type { EntrySettings } from "@linkfall/entry-settings";
import type { Logger } from "@linkfall/logger";
import { changedKeys } from "@linkfall/settings-watch";

/** Differences of new settings, by when they take effect. */
export interface SettingsChange {
  /** Peer addresses that were not in any earlier settings. */
  readonly newSeeds: readonly string[];
  /** Other keys that differ from the running settings, as `section.key`; they take effect at the next start. */
  readonly atNextStart: readonly string[];
}

const seedsKey = "box.seeds";

/** Compares new settings with those of the start and the seeds added since then. */
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

/** Adds the addresses of boxes that may be running; their first heartbeat supplies their names. */
export function addSeeds(peers: Pick<Peers, "addPeer">, addresses: readonly string[]): void {
  for (const peerAddress of addresses) peers.addPeer({ box: "seed", peerAddress });
}

/** Creates a function that applies each newer version of the settings, called in order. */
export function createSettingsUpdater(
  atStart: EntrySettings,
  peers: Pick<Peers, "addPeer">,
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
