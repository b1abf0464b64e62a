/** Binds streams to the software version of the target that begins them. */
import type { Fleet, TargetView } from "@linkfall/fleet";
import type { SoftwareVersions } from "@linkfall/software-versions";
import { type StreamKey, streamKey, type StreamVersions } from "@linkfall/stream-versions";
import type { VersionBinding } from "./attempt.js";
import type { ForwardedRequest } from "./forwarded-request.js";

export interface BindingContext {
  readonly fleet: Fleet;
  readonly softwareVersions: Pick<SoftwareVersions, "versionsOf" | "soleVersion">;
  readonly streamVersions: Pick<StreamVersions, "recordBegun" | "lookUp">;
}

/** Key of the stream that the request begins or takes up. */
export function streamKeyOf({ service, account, terms }: ForwardedRequest): StreamKey {
  const firstAttempt = terms.resumes ?? terms.id;
  return streamKey({ service: service.name, account, firstAttempt });
}

/**
 * The version of a target; in doubt if its entry has changed since the request was sent there. The list does not tell the
 * version of a target that has just started again under its id; it counts as of the only one that serves.
 */
function bindingTo(
  { fleet, softwareVersions }: BindingContext,
  { listed }: TargetView,
): VersionBinding {
  const current = fleet.find(listed.id);
  const isDoubtful = current && current.listed.softwareVersion !== listed.softwareVersion;
  if (isDoubtful) return {};
  return {
    softwareVersion: listed.softwareVersion ?? softwareVersions.soleVersion(listed.service),
  };
}

/** Binds the stream to the version of the target that begins it, before its first event is forwarded. */
export function bindStream(
  context: BindingContext,
  request: ForwardedRequest,
  target: TargetView,
): void {
  const { streamPosition, service, route } = request;
  if (streamPosition.boundTo && !request.isVersionInferred) return;
  request.isVersionInferred = false;
  streamPosition.boundTo ??= bindingTo(context, target);
  const { softwareVersion } = streamPosition.boundTo;
  const key = streamKeyOf(request);
  const resumable = route.repeatability === "repeatable";
  const origin = { key, service: service.name, target: target.listed.id, resumable };
  context.streamVersions.recordBegun({ ...origin, softwareVersion: softwareVersion ?? null });
}

/** The version of the only targets that may serve the request, if there are others; undefined if any target may. */
export function confinedVersion(
  context: Pick<BindingContext, "softwareVersions">,
  request: ForwardedRequest,
): string | undefined {
  if (!isConfinedToVersion(context, request)) return undefined;
  return request.streamPosition.boundTo?.softwareVersion;
}

/** Whether the stream may go on at one of several software versions only, so that it has fewer targets than others. */
export function isConfinedToVersion(
  { softwareVersions }: Pick<BindingContext, "softwareVersions">,
  { streamPosition, service }: ForwardedRequest,
): boolean {
  return (
    streamPosition.boundTo !== undefined && softwareVersions.versionsOf(service.name).length > 1
  );
}
