/** Whether the store can be reached: by this box's own reads, or else by those of other boxes. */
import type { LogFailure } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Milliseconds } from "@linkfall/types";

export interface StoreReachability {
  isReachable(): boolean;
  /** Whether the store is away, or came back only just now. */
  isUnsettled(): boolean;
  /** Notes a read of a stream, or its failure. */
  recordRead(stream: string, failure?: LogFailure): void;
}

export interface StoreReaderPeers {
  readsStore(): boolean;
  anyReaderReachesStore(): boolean;
}

function reasonOf(failure: LogFailure): string {
  return failure.kind === "log_unavailable" ? failure.reason : failure.kind;
}

export function createStoreReachability(
  clock: Clock,
  logger: Logger,
  peers: StoreReaderPeers,
  settleMs: Milliseconds,
): StoreReachability {
  const failing = new Set<string>();
  let wasReached = true;
  let returnedAt = -Infinity;

  const reached = (): boolean => {
    if (peers.readsStore()) return failing.size === 0;
    failing.clear();
    return peers.anyReaderReachesStore();
  };
  const look = (stream?: string, reason?: string): boolean => {
    const now = reached();
    if (wasReached && !now) logger.event("logUnreachable", { stream, reason });
    if (!wasReached && now) {
      returnedAt = clock.now();
      logger.event("logReachable", { stream });
    }
    wasReached = now;
    return now;
  };

  return {
    isReachable: reached,
    isUnsettled: () => !look() || clock.now() - returnedAt < settleMs,
    recordRead(stream, failure) {
      if (failure) failing.add(stream);
      else failing.delete(stream);
      look(stream, failure && reasonOf(failure));
    },
  };
}
