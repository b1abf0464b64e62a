/** Restores the state from a snapshot in the log if the next records have been truncated. */
import type { LogFailure } from "@linkfall/errors";
import { type LogPort, streams } from "@linkfall/ports";
import { createSnapshotCollector, type FoldedState } from "@linkfall/state-fold";
import type { Offset } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

/** The log contains no complete snapshot that covers all truncated records. */
export interface NoSnapshot {
  readonly kind: "no_snapshot";
  /** Offset of the oldest record in the log. */
  readonly first: Offset;
}

/** Reads the log from offset `first`, in batches of up to `maxRecords`, until a snapshot is complete. */
export async function restoreFromLog(
  port: LogPort,
  first: Offset,
  maxRecords: number,
): Promise<Either<LogFailure | NoSnapshot, FoldedState>> {
  const collector = createSnapshotCollector();
  let from = first;
  for (;;) {
    const read = await port.read(streams.state, from, maxRecords);
    if (read.isLeft()) return Left(read.extract() as LogFailure);
    const { entries, newest } = read.unsafeCoerce();
    for (const entry of entries) {
      const state = collector.add(entry, first - 1);
      if (state) return Right(state);
    }
    from += entries.length;
    if (entries.length === 0 || from > newest) return Left({ kind: "no_snapshot", first });
  }
}
