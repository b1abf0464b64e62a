/**
 * Appends snapshots. The boxes rank themselves, so that one of them does it and the next steps in
 * when it does not; two snapshots at once do no harm.
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

const checkMs: Milliseconds = 1_000;
/** Each later rank waits this many more checks. */
const checksPerRank = 5;
const partLimitMs: Milliseconds = 15_000;

/** Creates the writer of one box; its life cycle is the checking. */
export function createSnapshotWriter(kernel: Kernel): Service {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);
  const settings = kernel.find(settingsName).platform;
  let dueChecks = 0;
  let newestSeen: Offset = 0;
  let newestSeenAt = clock.now();

  const isDue = (): boolean => {
    const { offset, newestSnapshot } = store.state();
    if (newestSnapshot !== newestSeen) {
      newestSeen = newestSnapshot;
      newestSeenAt = clock.now();
    }
    if (offset === 0) return false;
    const records = offset - newestSnapshot;
    const tooOld = clock.now() - newestSeenAt >= settings.snapshot_every_ms;
    return records >= settings.snapshot_every_records || tooOld;
  };

  const myRank = () => {
    const boxes = membership.serving().map((entry) => entry.box);
    return Math.max(0, rankNodes("snapshot", boxes).indexOf(membership.self().box));
  };

  const write = async () => {
    const snapshot = random.identifier();
    const parts = splitSnapshot(store.state(), snapshot, settings.snapshot_part_bytes);
    for (const part of parts) {
      const added = await writer.append((id) => ({ type: "snapshot", id, ...part }), partLimitMs);
      // A snapshot with a part missing is ignored by readers; the next check begins another.
      if (added.isLeft()) return;
    }
    logger.event("snapshotWritten", { asOf: parts[0].asOf, parts: parts.length });
  };

  const check = async () => {
    if (!store.ready() || membership.self().leaving || membership.isolated()) return;
    dueChecks = isDue() ? dueChecks + 1 : 0;
    if (dueChecks === 0 || dueChecks <= myRank() * checksPerRank) return;
    dueChecks = 0;
    await write();
  };

  return repeatEvery(clock, random, checkMs, check);
}
