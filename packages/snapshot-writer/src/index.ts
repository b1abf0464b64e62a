/**
 * Appends snapshots of the state to the log. Boxes wait by rank, so that usually one of them writes a snapshot and the next
 * takes over if it fails; concurrent snapshots are harmless.
 */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, randomName, repeatEvery, type Service } from "@linkfall/kernel";
import { logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { membershipName } from "@linkfall/membership";
import { rankNodes } from "@linkfall/rendezvous";
import { splitSnapshot } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import type { Milliseconds, Offset } from "@linkfall/types";

/** Interval at which a box checks whether a snapshot is due. */
const checkMs: Milliseconds = 1_000;
/** Additional checks per rank before a box writes a due snapshot. */
const checksPerRank = 5;
/** Timeout for appending one part. */
const partTimeoutMs: Milliseconds = 15_000;

/** Creates the snapshot writer of one box, which checks while it is started. */
export function createSnapshotWriter(kernel: Kernel): Service {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);
  const settings = kernel.find(settingsName).platform;
  /** Consecutive checks that found a snapshot due. */
  let dueChecks = 0;
  let lastSnapshot: Offset = 0;
  let lastSnapshotAt = clock.now();

  const isDue = (): boolean => {
    const { offset, newestSnapshot } = store.state();
    if (newestSnapshot !== lastSnapshot) {
      lastSnapshot = newestSnapshot;
      lastSnapshotAt = clock.now();
    }
    if (offset === 0) return false;
    const recordsSince = offset - newestSnapshot;
    const tooOld = clock.now() - lastSnapshotAt >= settings.snapshot_every_ms;
    return recordsSince >= settings.snapshot_every_records || tooOld;
  };

  const ownRank = () => {
    const boxes = membership.serving().map((entry) => entry.box);
    return Math.max(0, rankNodes("snapshot", boxes).indexOf(membership.self().box));
  };

  const writeSnapshot = async () => {
    const snapshot = random.identifier();
    const parts = splitSnapshot(store.state(), snapshot, settings.snapshot_part_bytes);
    for (const part of parts) {
      const appended = await writer.append(
        (id) => ({ type: "snapshot", id, ...part }),
        partTimeoutMs,
      );
      // Readers ignore incomplete snapshots; a later check starts a new one.
      if (appended.isLeft()) return;
    }
    logger.event("snapshotWritten", { asOf: parts[0].asOf, parts: parts.length });
  };

  const check = async () => {
    if (!store.ready() || membership.self().leaving || membership.isolated()) return;
    dueChecks = isDue() ? dueChecks + 1 : 0;
    if (dueChecks === 0 || dueChecks <= ownRank() * checksPerRank) return;
    dueChecks = 0;
    await writeSnapshot();
  };

  return repeatEvery(clock, random, checkMs, check);
}
