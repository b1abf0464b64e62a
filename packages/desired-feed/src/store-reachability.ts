/** Determines whether the store is reachable: by this box's own reads if it is a reader, else by those of other boxes. */
import type { LogFailure } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Milliseconds } from "@linkfall/types";

/** Reachability of the store. */
export interface StoreReachability {
  /** Whether the store is currently reachable. */
  isReachable(): boolean;
  /** Whether the store is unreachable, or became reachable less than `settleMs` ago. */
  isUnsettled(): boolean;
  /** Records a read of a stream, or its failure. */
  recordRead(stream: string, failure?: LogFailure): void;
}

/** State of the other boxes that determines whether the store is reachable. */
export interface StoreReaderPeers {
  readsStore(): boolean;
  anyReaderReachesStore(): boolean;
}

function reasonOf(failure: LogFailure): string {
  return failure.kind === "log_unavailable" ? failure.reason : failure.kind;
}

/** Creates the state of a store that is assumed to be reachable. */
export function createStoreReachability(
  clock: Clock,
  logger: Logger,
  peers: StoreReaderPeers,
  settleMs: Milliseconds,
): StoreReachability {
  const failedStreams = new Set<string>();
  let wasReachable = true;
  let reachableSince = -Infinity;

  const isReachable = (): boolean => {
    if (peers.readsStore()) return failedStreams.size === 0;
    failedStreams.clear();
    return peers.anyReaderReachesStore();
  };
  const update = (stream?: string, reason?: string): boolean => {
    const now = isReachable();
    if (wasReachable && !now) logger.event("logUnreachable", { stream, reason });
    if (!wasReachable && now) {
      reachableSince = clock.now();
      logger.event("logReachable", { stream });
    }
    wasReachable = now;
    return now;
  };

  return {
    isReachable,
    isUnsettled: () => !update() || clock.now() - reachableSince < settleMs,
    recordRead(stream, failure) {
      if (failure) failedStreams.add(stream);
      else failedStreams.delete(stream);
      update(stream, failure && reasonOf(failure));
    },
  };
}
