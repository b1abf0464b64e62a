/** Sends requests to targets: model engines and plain services. */
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
  /** Use a new connection; an idle kept-alive one may be closed by the target just as the request is sent. */
  readonly freshConnection: boolean;
}

/** A chunk of a body; a Left if the body ended early. */
export type BodyPart = Either<TargetUnreachable, Uint8Array>;

/** The response of a target. The body is complete if it ends without a Left. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: AsyncIterable<BodyPart>;
}

/** Whether an address accepts connections; `unknown` if the connection attempt timed out. */
export type ListenerStatus = "listens" | "refuses" | "unknown";

export interface TargetPort {
  /** Sends a request; aborting `signal` cancels it and closes its connection. */
  send(
    request: TargetRequest,
    signal: AbortSignal,
  ): Promise<Either<TargetUnreachable, TargetResponse>>;
  /** Checks whether a target still listens, to distinguish a stopped target from a lost connection. */
  probeListener(address: string): Promise<ListenerStatus>;
}

export const targetPortName = serviceName<TargetPort>("target-port");
