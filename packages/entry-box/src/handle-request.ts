/** Handles a caller's request: routing, authentication, account limits and forwarding. */
import type { AccountQuota } from "@linkfall/account-quota";
import type { ActiveConfiguration, DesiredFeed } from "@linkfall/desired-feed";
import {
  type ForwardContext,
  type ForwardedRequest,
  forwardRequest,
  mayHaveRun,
  refusedStatus,
  type RequestOutcome,
} from "@linkfall/forwarding";
import { findUnwritableHeader } from "@linkfall/header-syntax";
import type { Metrics } from "@linkfall/metrics";
import type { RequestCodec } from "@linkfall/ports";
import { fingerprintOf, type RequestContent } from "@linkfall/request-fingerprint";
import { selectShare } from "@linkfall/route-table";
import type { ClientAccount, Milliseconds, RequestMetadata, Route } from "@linkfall/types";
import { admitToQuota, settleQuota } from "./account-admission.js";
import { rankAtEngine } from "./engine-rank.js";
import { respondLocally, type FrontRequest, type RequestHead } from "./front.js";
import { identify } from "./identify.js";

export interface RequestContext {
  /** Whether the box has loaded the state it needs to serve requests. */
  ready(): boolean;
  readonly feed: DesiredFeed;
  readonly codec: RequestCodec;
  readonly forward: ForwardContext;
  readonly quota: AccountQuota;
  readonly metrics: Metrics;
  /** Whether the route's priority orders the requests of accounts of the same priority at engines. */
  readonly ranksRoutesOfAccounts: boolean;
  /** Label of an account in metrics. */
  accountLabel(account: string | undefined): string;
}

const notReadyRetryMs: Milliseconds = 500;
/** Longest time for which a request waits to learn whether the configuration that does not allow it is the newest. */
const maxConfirmMs: Milliseconds = 300;
const overLimitStatus = 429;
const stoppingReason = "stopping";

/** Computes the fingerprint on first use, since most requests never need it. */
function lazyFingerprint(content: RequestContent): () => string {
  let cached: string | undefined;
  return () => (cached ??= fingerprintOf(content));
}

function timeoutOf({ deadlineMs }: RequestMetadata, { timeoutMs }: Route): Milliseconds {
  return Math.min(deadlineMs ?? timeoutMs, timeoutMs);
}

/** Time in which a request has to be answered; undefined if it cannot be served. */
export function findTimeLimitMs(
  { feed, codec }: Pick<RequestContext, "feed" | "codec">,
  { headers, host, path }: RequestHead,
): Milliseconds | undefined {
  const route = feed.activeConfiguration()?.routes.find(host, path);
  return route && timeoutOf(codec.readMetadata(headers), route);
}

function toForwardedRequest(
  request: FrontRequest,
  terms: RequestMetadata,
  route: Route,
  account: ClientAccount | undefined,
  { configuration }: ActiveConfiguration,
  ranksRoutesOfAccounts: boolean,
): ForwardedRequest | undefined {
  const service = configuration.services.get(selectShare(route, terms.id).service);
  if (!service) return undefined;
  const timeoutMs = timeoutOf(terms, route);
  return {
    ...request,
    route,
    service,
    terms,
    account: account?.name,
    fingerprint: lazyFingerprint({ ...request, account: account?.name }),
    priority: account?.priority ?? route.priority,
    rank: rankAtEngine(route, account, ranksRoutesOfAccounts),
    responseStartDueAt: request.arrivedAt + Math.min(timeoutMs, route.eventTimeoutMs ?? timeoutMs),
    deadlineAt: request.arrivedAt + timeoutMs,
    streamPosition: { lastEventId: terms.resumeAfter },
    triedTargets: new Set(),
    targetsWithoutPlace: new Set(),
    possibleRuns: 0,
    sends: 0,
    unwrittenSends: 0,
    maxStreamGapMs: 0,
    isFinalAttempt: false,
  };
}

function recordEnd(
  context: RequestContext,
  request: ForwardedRequest,
  end: RequestOutcome,
  units: number | undefined,
): void {
  const { clock, logger } = context.forward;
  const tookMs = Math.round(clock.now() - request.arrivedAt);
  const reason = "reason" in end ? end.reason : "";
  context.metrics.count("linkfall_requests_total", "Requests by route and outcome.", {
    route: request.route.name,
    outcome: end.outcome,
    reason,
  });
  context.metrics.observe("linkfall_request_ms", "Time until the response was complete.", tookMs);
  logger.event("requestEnded", {
    request: request.terms.id,
    route: request.route.name,
    account: request.account,
    units,
    model: request.terms.model,
    outcome: end.outcome,
    status: "status" in end ? end.status : undefined,
    reason: reason === "" ? undefined : reason,
    retryAfterMs: end.outcome === "refused" ? end.retryAfterMs : undefined,
    sends: request.sends,
    runs: request.possibleRuns,
    held: request.heldSince !== undefined,
    firstMs: request.firstByteAt && Math.round(request.firstByteAt - request.arrivedAt),
    objectiveMs: request.route.objectiveMs,
    gapMs: request.maxStreamGapMs > 0 ? Math.round(request.maxStreamGapMs) : undefined,
    ms: tookMs,
    leftMs: Math.round(request.deadlineAt - clock.now()),
    configuration: context.feed.activeConfiguration()?.configuration.version,
  });
}

/** Records that the exit of the box has ended the request; one that has not been refused may have run. */
export function recordCut(request: ForwardedRequest, status: number): RequestOutcome {
  if (status !== refusedStatus) request.possibleRuns = Math.max(1, request.possibleRuns);
  return { outcome: "refused", status, reason: stoppingReason };
}

/** Whether the configuration in force allows a request. */
type AllowedRequest =
  | {
      readonly kind: "allowed";
      readonly inForce: ActiveConfiguration;
      readonly route: Route;
      /** Absent if the caller needs no account. */
      readonly caller?: ClientAccount;
    }
  | {
      readonly kind: "refused";
      readonly status: number;
      readonly why: string;
      readonly version?: number;
      /** Fingerprint of an unknown key. */
      readonly key?: string;
    };

function checkAllowed(
  feed: DesiredFeed,
  { host, path }: RequestHead,
  key: string | undefined,
): AllowedRequest {
  const inForce = feed.activeConfiguration();
  const version = inForce?.configuration.version;
  const route = inForce?.routes.find(host, path);
  if (!inForce || !route)
    return { kind: "refused", status: 404, why: `no route in version ${version}` };
  const caller = identify(inForce.keys, route, key);
  if (caller.kind === "known") return { kind: "allowed", inForce, route, caller: caller.account };
  return { kind: "refused", status: 401, why: caller.why, version, key: caller.fingerprint };
}

/** Handles one request under the configuration in force when it arrives. */
export async function handleRequest(context: RequestContext, request: FrontRequest): Promise<void> {
  const { feed, codec, forward } = context;
  const terms = codec.readMetadata(request.headers);
  const reject = (status: number, why: string, retryAfterMs?: Milliseconds, details?: object) => {
    const { path } = request;
    forward.logger.event("requestRejected", { request: terms.id, status, why, path, ...details });
    respondLocally(request.sink, status, retryAfterMs);
  };
  const invalid =
    findUnwritableHeader(request.headers) ?? codec.describeInvalidHeaders(request.headers);
  if (invalid !== undefined) return reject(400, invalid);
  if (!feed.activeConfiguration() || !context.ready())
    return reject(503, "no configuration yet", notReadyRetryMs);
  const key = codec.readApiKey(request.headers);
  let allowed = checkAllowed(feed, request, key);
  if (allowed.kind === "refused") {
    // A route or a key may have been added that this box has not heard of.
    const timeoutMs = Math.min(terms.deadlineMs ?? Infinity, maxConfirmMs);
    if (!(await feed.confirmConfiguration(timeoutMs)))
      return reject(503, "the configuration may be out of date", notReadyRetryMs);
    allowed = checkAllowed(feed, request, key);
  }
  if (allowed.kind === "refused") {
    const { status, why, version, key: fingerprint } = allowed;
    return reject(status, why, undefined, { version, key: fingerprint });
  }
  const { inForce, route, caller } = allowed;
  const { version } = inForce.configuration;
  const forwarded = toForwardedRequest(
    request,
    terms,
    route,
    caller,
    inForce,
    context.ranksRoutesOfAccounts,
  );
  if (!forwarded) return reject(503, "no such service", notReadyRetryMs);
  // Its account's limit is not charged for what this box can't serve any more.
  if (!forward.acceptsRequest(forwarded)) return reject(refusedStatus, stoppingReason, 0);
  const admission = await admitToQuota(context.quota, caller, terms, version);
  if (admission.kind === "refused") {
    const details = { account: forwarded.account, version, retryAfterMs: admission.retryAfterMs };
    context.metrics.count(
      "linkfall_account_refusals_total",
      "Requests rejected by their account's limit; accounts beyond the first 64 share a series.",
      { account: context.accountLabel(forwarded.account) },
    );
    return reject(
      overLimitStatus,
      "the account's limit is used up",
      admission.retryAfterMs,
      details,
    );
  }
  request.trackProgress(() => ({
    id: terms.id,
    mayHaveRun: mayHaveRun(forwarded),
    sends: forwarded.sends,
  }));
  const forwardedEnd = await forwardRequest(forward, forwarded);
  const cutStatus = request.cutStatus();
  const end = cutStatus === undefined ? forwardedEnd : recordCut(forwarded, cutStatus);
  settleQuota(context.quota, admission.use, forwarded, end);
  recordEnd(context, forwarded, end, admission.use?.units);
}
