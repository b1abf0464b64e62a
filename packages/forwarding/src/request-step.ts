/** Result of one step of forwarding a request: continue, or end with a final response. */
import type { Milliseconds } from "@linkfall/types";
import { localReplyHeaders } from "./local-reply.js";
import type { ForwardedRequest, RequestOutcome } from "./forwarded-request.js";

export type Step =
  { readonly kind: "continue" } | { readonly kind: "end"; readonly outcome: RequestOutcome };

export const continueRequest: Step = { kind: "continue" };
export const endRequest = (outcome: RequestOutcome): Step => ({ kind: "end", outcome });

/** Status of a request that did not run and will not run. */
export const refusedStatus = 503;
/** Status of a request that may have run and whose response was lost. */
export const lostStatus = 502;
/** Status of a request that may have run and whose deadline has passed. */
export const timeoutStatus = 504;

function respond(
  { sink }: ForwardedRequest,
  status: number,
  reason: string,
  retryAfterMs?: Milliseconds,
): RequestOutcome {
  const body = Buffer.from(`${JSON.stringify({ error: reason })}\n`);
  sink.send(status, localReplyHeaders(retryAfterMs), body);
  return { outcome: "refused", status, reason, retryAfterMs };
}

/** Ends the request after an exception. How far it has come is not known, so nothing is promised to the caller. */
export function endDefective(request: ForwardedRequest): RequestOutcome {
  const reason = "internal error";
  if (!request.sink.headersSent()) return respond(request, lostStatus, reason);
  request.sink.abort();
  return { outcome: "cut", reason };
}

/** Ends the request with an error response; aborts it if a response has already started. */
export function refuse(
  request: ForwardedRequest,
  status: number,
  reason: string,
  retryAfterMs?: Milliseconds,
): Step {
  const { sink } = request;
  if (sink.headersSent()) {
    sink.abort();
    return endRequest({ outcome: "cut", reason });
  }
  // 503 promises that the request did not run, which is not certain after such an attempt.
  const reportedStatus = status === refusedStatus && request.possibleRuns > 0 ? lostStatus : status;
  const reportedRetryAfterMs = reportedStatus === refusedStatus ? retryAfterMs : undefined;
  return endRequest(respond(request, reportedStatus, reason, reportedRetryAfterMs));
}

/** Refuses a request whose time has run out. */
export function refuseTimedOut(request: ForwardedRequest): Step {
  return request.possibleRuns > 0
    ? refuse(request, timeoutStatus, "no answer in time")
    : refuse(request, refusedStatus, "no target in time", 0);
}
