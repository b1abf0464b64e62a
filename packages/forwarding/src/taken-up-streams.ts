/** Requests that continue a stream which an earlier attempt of their caller began. */
import type { StreamVersion } from "@linkfall/stream-versions";
import type { Milliseconds } from "@linkfall/types";
import type { ForwardContext } from "./forward-context.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import { refuse, refusedStatus, type Step } from "./request-step.js";
import { streamKeyOf } from "./stream-binding.js";

/** Whether the request continues a stream of which its caller has received events. */
export function isTakenUp({ route, terms }: ForwardedRequest): boolean {
  return route.streaming && (terms.resumeAfter !== undefined || terms.resumes !== undefined);
}

const unknown: StreamVersion = { kind: "unknown", servedElsewhere: [], allAnswered: true };

/** Looks up a stream that names no attempt, too, where one version may have begun all: others may know of further ones. */
async function lookUp(
  { streamVersions, softwareVersions }: ForwardContext,
  request: ForwardedRequest,
): Promise<StreamVersion> {
  const { terms, service } = request;
  const isNamed = terms.resumes !== undefined;
  if (!isNamed && softwareVersions.soleVersion(service.name) === undefined) return unknown;
  return streamVersions.lookUp(streamKeyOf(request), service.name);
}

function versionOf(found: StreamVersion): string | undefined {
  if (found.kind === "doubtful") return undefined;
  return found.kind === "known" ? found.version : found.soleVersion;
}

/** Refuses a stream whose version is unknown. It may be known at another box, or later, if not all boxes have answered. */
function refuseUnknown(
  { logger, metrics, forwardLimits }: ForwardContext,
  request: ForwardedRequest,
  found: StreamVersion,
): Step {
  const { terms, service } = request;
  const mayBeKnownLater = found.kind === "unknown" && !found.allAnswered;
  const retryAfterMs: Milliseconds | undefined = mayBeKnownLater
    ? forwardLimits.defaultRetryAfterMs
    : undefined;
  const { id, resumes } = terms;
  logger.event("streamVersionUnknown", { request: id, resumes, found: found.kind, retryAfterMs });
  metrics.streamTakenUp(service.name, found.kind);
  const reason = "the software version that began the stream is unknown";
  return refuse(request, refusedStatus, reason, retryAfterMs);
}

/** Binds a stream that is taken up to the version that began it, or refuses it at once if that is not known. */
export async function bindTakenUp(
  context: ForwardContext,
  request: ForwardedRequest,
): Promise<Step | undefined> {
  const { logger, metrics, clock } = context;
  const { terms, service, streamPosition } = request;
  const { id, resumes, resumeAfter } = terms;
  logger.event("streamTakenUp", { request: id, resumes, after: resumeAfter });
  const startedAt = clock.now();
  const found = await lookUp(context, request);
  const softwareVersion = versionOf(found);
  if (softwareVersion === undefined) return refuseUnknown(context, request, found);
  const by = found.kind === "known" ? found.by : "inferred";
  const ms = Math.round(clock.now() - startedAt);
  streamPosition.boundTo = { softwareVersion };
  request.isVersionInferred = by === "inferred";
  logger.event("streamVersionSettled", { request: id, resumes, softwareVersion, by, ms });
  metrics.streamTakenUp(service.name, by);
  return undefined;
}

/** Refuses a stream that cannot go on, as no target of its version accepts requests. */
export function refuseWithoutVersion(
  { logger, metrics }: ForwardContext,
  request: ForwardedRequest,
): Step {
  const { terms, service, streamPosition } = request;
  const softwareVersion = streamPosition.boundTo?.softwareVersion;
  logger.event("streamVersionGone", { request: terms.id, resumes: terms.resumes, softwareVersion });
  metrics.streamVersionGone(service.name);
  const reason = "no target of the software version that began the stream accepts requests";
  return refuse(request, refusedStatus, reason);
}
