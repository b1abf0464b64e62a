/** One connection of a bounded server. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { ConnectionState } from "./connection-table.js";
import type { TurnReader } from "./read-turns.js";
import type { RequestFrames } from "./request-frames.js";

/** A request that its client has sent before it had the response to the one before. */
export interface EarlyRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

export interface Connection {
  readonly socket: Socket;
  reader?: TurnReader;
  readonly early: EarlyRequest[];
  /** Bytes read since the last request, its body not counted. */
  bytesOutside: number;
  /** Response that the client waits for, or has had. */
  response?: ServerResponse;
  /** Whether bytes behind the last request are no request. */
  isMalformed?: boolean;
  readonly frames: RequestFrames;
  /** Request that the parser has begun last. */
  message?: IncomingMessage;
  /** Whether the parser has met bytes that are no request, or taken them for one; what follows is not parsed. */
  isOutOfStep?: boolean;
}

/** Whether a client in the state waits for a response, or sends the request for it. */
export const isBusy = (state: ConnectionState | undefined): boolean =>
  match(state)
    .with("reading", "serving", () => true)
    .otherwise(() => false);
