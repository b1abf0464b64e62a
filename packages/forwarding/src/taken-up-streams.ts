/** Requests that continue a stream which an earlier attempt of their caller began. */
import type { ForwardContext } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";

/** Whether the request continues a stream of which its caller has received events. */
export function isTakenUp({ route, terms }: ForwardedRequest): boolean {
  return route.streaming && (terms.resumeAfter !== undefined || terms.resumes !== undefined);
}

/** Logs and counts a request that continues a stream. */
export function reportTakenUp(
  { logger, metrics }: ForwardContext,
  { service, terms }: ForwardedRequest,
): void {
  const { id, resumes, resumeAfter } = terms;
  logger.event("streamTakenUp", { request: id, resumes, after: resumeAfter });
  metrics.streamTakenUp(service.name);
}
