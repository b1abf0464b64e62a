/** The requests of callers that have no complete response yet. */
import type { ResponseSink } from "@linkfall/forwarding";
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
  /** Clock reading at which its head had been read. */
  readonly arrivedAt: Milliseconds;
  readonly sink: ResponseSink;
  /** Absent before the request is forwarded: no target has got it. */
  progress?(): RequestProgress;
}
