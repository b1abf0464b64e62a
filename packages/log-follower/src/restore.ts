/** Starts from a snapshot when the records that come next are no longer in the log. */
import type { LogFailure } from "@linkfall/errors";
import { type LogPort, streams } from "@linkfall/ports";
import { createSnapshotCollector, type FoldedState } from "@linkfall/state-fold";
import type { Offset } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

/** The log holds no whole snapshot that reaches its oldest record. */
export interface NoSnapshot {
  readonly kind: "no_snapshot";
  readonly first: Offset;
}

/** Reads from the oldest record on until a snapshot is whole. */
export async function restoreFromLog(
  port: LogPort,
  first: Offset,
  batch: number,
): Promise<Either<LogFailure | NoSnapshot, FoldedState>> {
  const collector = createSnapshotCollector();
  let from = first;
  for (;;) {
    const read = await port.read(streams.state, from, batch);
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
