/** The requests that have no complete response yet, and what their callers are told when the front has to close. */
import type { ServerResponse } from "node:http";
import { notRun, outcomeUnknown, refusalResponse } from "@linkfall/refusals";
import { writeResponse } from "./write-response.js";

/** A request without a complete response. */
export interface OpenRequest {
  readonly serverResponse: ServerResponse;
  /** Aborted when nobody waits for the response any more. */
  readonly callerGone: AbortController;
  /** Whether the request has been handed to its handler. */
  isHandled: boolean;
}

const reason = "the box has stopped before the response was complete";

/** Ends the request with a final response; one that has begun goes on. */
export function endOpenRequest({ serverResponse, callerGone, isHandled }: OpenRequest): void {
  if (serverResponse.headersSent) return;
  const refusal = isHandled
    ? outcomeUnknown("target_lost", reason)
    : notRun("not_ready", reason, 0);
  serverResponse.shouldKeepAlive = false;
  void writeResponse(serverResponse, refusalResponse(refusal), callerGone.signal);
  callerGone.abort();
}
