/** Orders to engines and their reports. */
import type { TargetUnreachable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type { CacheEvent, EngineReport, Epoch, Order, OrderReply } from "@linkfall/types";
import type { Either } from "purify-ts";

/** Cache events after a position, as far as the engine still has them. */
export interface CacheEventBatch {
  readonly engineIncarnation: string;
  readonly events: readonly CacheEvent[];
}

export interface EnginePort {
  report(address: string): Promise<Either<TargetUnreachable, EngineReport>>;
  /** Refuses every order below `epoch` from now on, and answers with the state after that. */
  raiseFence(address: string, epoch: Epoch): Promise<Either<TargetUnreachable, EngineReport>>;
  order(address: string, order: Order): Promise<Either<TargetUnreachable, OrderReply>>;
  cacheEvents(address: string, after: number): Promise<Either<TargetUnreachable, CacheEventBatch>>;
}

export const enginePortName = serviceName<EnginePort>("engine-port");
