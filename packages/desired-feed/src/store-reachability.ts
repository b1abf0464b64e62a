/** Determines whether the store is reachable: by this box's own reads if it is a reader, else by those of other boxes. */
import type { LogFailure } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Milliseconds } from "@linkfall/types";
import { createListContinuity } from "./list-continuity.js";

/** Streams that a reader follows. */
export type FollowedStream = "configuration" | "targets";

/** Reachability of the store. */
export interface StoreReachability {
  /** Whether the store is currently reachable. */
  isReachable(): boolean;
  /** Whether the target list has been served without interruption for the time in which running targets renew entries. */
  isListSettled(): boolean;
  /** Whether the answer that is being handled contains only changes of the target list that were made while it was served. */
  isListContinuous(): boolean;
  /** Records an answer that has been handled; `isWhole`: the stream was applied up to its end at that time. */
  recordAnswer(stream: FollowedStream, isWhole: boolean): void;
  /** Records a read that failed. */
  recordFailure(stream: FollowedStream, failure: LogFailure): void;
  /** Records that the store has come back from an older copy. */
  recordReturn(): void;
}

/** State of the other boxes that determines whether the store is reachable. */
export interface StoreReaderPeers {
  readsStore(): boolean;
  anyReaderReachesStore(): boolean;
}

/** When the target list counts as settled. */
export interface ListSettlement {
  /** Time after an interruption in which running targets renew their entries, and this box reads them. */
  readonly settleMs: Milliseconds;
  /** A longer time between two answered reads is an interruption, even if no read failed. */
  readonly maxReadGapMs: Milliseconds;
}

function reasonOf(failure: LogFailure): string {
  return failure.kind === "log_unavailable" ? failure.reason : failure.kind;
}

/** Creates the state of a store that is assumed to be reachable. */
export function createStoreReachability(
  clock: Clock,
  logger: Logger,
  peers: StoreReaderPeers,
  { settleMs, maxReadGapMs }: ListSettlement,
): StoreReachability {
  const failedStreams = new Set<FollowedStream>();
  let wasReachable = true;
  let wasListServed = true;
  /** Start of the uninterrupted service of the list. */
  let listServedSince = -Infinity;
  const continuity = createListContinuity(clock, maxReadGapMs);

  const readsStore = (): boolean => {
    if (peers.readsStore()) return true;
    failedStreams.clear();
    continuity.recordEnd();
    return false;
  };
  const isReachable = (): boolean =>
    readsStore() ? failedStreams.size === 0 : peers.anyReaderReachesStore();
  const isListServed = (): boolean =>
    readsStore() ? !failedStreams.has("targets") : peers.anyReaderReachesStore();
  const restartSettling = () => {
    listServedSince = clock.now();
  };
  const updateList = (): boolean => {
    const now = isListServed();
    if (!wasListServed && now) restartSettling();
    wasListServed = now;
    return now;
  };
  const recordListAnswer = (isWhole: boolean) => {
    if (continuity.hasGap()) restartSettling();
    continuity.recordAnswer(isWhole);
  };
  const updateReachable = (stream?: FollowedStream, reason?: string) => {
    const now = isReachable();
    if (wasReachable && !now) logger.event("logUnreachable", { stream, reason });
    if (!wasReachable && now) logger.event("logReachable", { stream });
    wasReachable = now;
  };

  const isListSettled = () => {
    updateReachable();
    return updateList() && clock.now() - listServedSince >= settleMs;
  };

  return {
    isReachable,
    isListSettled,
    isListContinuous: () => continuity.isContinuous() ?? isListSettled(),
    recordAnswer(stream, isWhole) {
      failedStreams.delete(stream);
      if (stream === "targets") recordListAnswer(isWhole);
      updateReachable(stream);
      updateList();
    },
    recordFailure(stream, failure) {
      failedStreams.add(stream);
      if (stream === "targets") continuity.recordInterruption();
      updateReachable(stream, reasonOf(failure));
      updateList();
    },
    recordReturn() {
      continuity.recordInterruption();
      restartSettling();
    },
  };
}
