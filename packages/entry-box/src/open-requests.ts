/** The requests of callers that have no complete response yet, and what their callers are told when the box has to exit. */
import {
  localReplyHeaders,
  lostStatus,
  refusedStatus,
  type ResponseSink,
} from "@linkfall/forwarding";
import type { Milliseconds } from "@linkfall/types";

/** How far a request has come. */
export interface RequestProgress {
  /** Id that the caller gave it. */
  readonly id: string | undefined;
  /** Whether a target may have run it, or may be running it. */
  readonly mayHaveRun: boolean;
  /** Number of sends to targets. */
  readonly sends: number;
}

/** A request without a complete response. */
export interface OpenRequest {
  readonly path: string;
  /** Clock reading since which it may have been waiting to be read. */
  readonly arrivedAt: Milliseconds;
  readonly sink: ResponseSink;
  /** Absent before the request is forwarded: no target has got it. */
  progress?(): RequestProgress;
  /** Status of the response that ended the request since the box has to exit. */
  cutStatus?: number;
}

/**
 * Ends the request with a final response: one that no target has got may come back to another box at once, the others get an
 * error that promises nothing. A response that has begun goes on.
 */
export function cutOpenRequest(open: OpenRequest): void {
  const { sink, progress } = open;
  if (sink.headersSent() || sink.isCallerGone()) return;
  const mayHaveRun = progress?.().mayHaveRun === true;
  open.cutStatus = mayHaveRun ? lostStatus : refusedStatus;
  const headers = localReplyHeaders(mayHaveRun ? undefined : 0);
  sink.send(open.cutStatus, headers, Buffer.from("{}\n"));
  sink.detach();
}
