/** Sends orders to engines and reads their reports and cache events. */
import type { TargetUnreachable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type { CacheEvent, EngineReport, Epoch, Order, OrderReply } from "@linkfall/types";
import type { Either } from "purify-ts";

/** Cache events after a position; events that the engine no longer keeps are missing. */
export interface CacheEventBatch {
  readonly engineIncarnation: string;
  readonly events: readonly CacheEvent[];
}

export interface EnginePort {
  report(address: string): Promise<Either<TargetUnreachable, EngineReport>>;
  /** Makes the engine reject every order with an epoch below `epoch`; returns its report afterwards. */
  raiseFence(address: string, epoch: Epoch): Promise<Either<TargetUnreachable, EngineReport>>;
  /**
   * Sends the order. `isPermitted` is asked on the established connection, immediately before the order is written; if it
   * returns false, nothing is written.
   */
  order(
    address: string,
    order: Order,
    isPermitted: () => boolean,
  ): Promise<Either<TargetUnreachable, OrderReply>>;
  /** Reads the cache events with a sequence above `after`. */
  cacheEvents(address: string, after: number): Promise<Either<TargetUnreachable, CacheEventBatch>>;
}

export const enginePortName = serviceName<EnginePort>("engine-port");
