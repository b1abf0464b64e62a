/** What a running box does about settings that change. */
import type { Peers } from "@linkfall/box-peers";
import type { EntrySettings } from "@linkfall/entry-settings";
import type { Logger } from "@linkfall/logger";
import { changedKeys } from "@linkfall/settings-watch";

/** The difference between two readings of the settings, by what a running box can do about it. */
export interface SettingsChange {
  /** Peer addresses that the earlier reading did not name. */
  readonly newSeeds: readonly string[];
  /** Other keys that differ, as `section.key`; they hold from the next start on. */
  readonly atNextStart: readonly string[];
}

const seedsKey = "box.seeds";

/** Compares two readings of the settings. */
export function planSettingsChange(before: EntrySettings, after: EntrySettings): SettingsChange {
  const known = new Set(before.box.seeds);
  return {
    newSeeds: after.box.seeds.filter((seed) => !known.has(seed)),
    atNextStart: changedKeys(before, after).filter((key) => key !== seedsKey),
  };
}

/** Tells the box of others that may be up; their names come with their first heartbeat. */
export function learnSeeds(peers: Peers, addresses: readonly string[]): void {
  for (const peerAddress of addresses) peers.learn({ box: "seed", peerAddress });
}

/** Creates what takes each further reading of the settings, in their order. */
export function createSettingsTaker(
  atStart: EntrySettings,
  peers: Peers,
  logger: Logger,
): (read: EntrySettings) => void {
  let before = atStart;
  return (read) => {
    const { newSeeds, atNextStart } = planSettingsChange(before, read);
    before = read;
    learnSeeds(peers, newSeeds);
    logger.event("settingsChanged", {
      newSeeds: newSeeds.join(" "),
      atNextStart: atNextStart.join(" "),
    });
  };
}
