/** Requests to targets: model engines and plain services. */
import type { TargetUnreachable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type { Either } from "purify-ts";
import type { HeaderMap } from "./exchange.js";

/** One request to a target. */
export interface TargetRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Ask for a connection of its own, since one kept alive may die under the request unseen. */
  readonly freshConnection: boolean;
}

/** A piece of a body, or the fact that the body was cut before its end. */
export type BodyPart = Either<TargetUnreachable, Uint8Array>;

/** The answer of a target. The body ends without a Left only when it is whole. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: AsyncIterable<BodyPart>;
}

/** Whether anybody takes connections at an address; `unknown` where it did not answer in time. */
export type ListenerStatus = "listens" | "refuses" | "unknown";

export interface TargetPort {
  /** Sends a request; `signal` gives it up and closes its connection. */
  send(
    request: TargetRequest,
    signal: AbortSignal,
  ): Promise<Either<TargetUnreachable, TargetResponse>>;
  /** Tells a target that ended from one whose connection was lost. */
  probeListener(address: string): Promise<ListenerStatus>;
}

export const targetPortName = serviceName<TargetPort>("target-port");
