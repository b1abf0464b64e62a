/** From a request as it was read to its way through the box. */
import type { AccountQuota } from "@linkfall/account-quota";
import type { ActiveConfiguration, DesiredFeed } from "@linkfall/desired-feed";
import {
  type ForwardContext,
  type ForwardedRequest,
  forwardRequest,
  type RequestOutcome,
} from "@linkfall/forwarding";
import type { Metrics } from "@linkfall/metrics";
import type { RequestCodec } from "@linkfall/ports";
import { fingerprintOf, type RequestContent } from "@linkfall/request-fingerprint";
import { selectShare } from "@linkfall/route-table";
import type { ClientAccount, Milliseconds, RequestMetadata, Route } from "@linkfall/types";
import { admitToQuota, settleQuota } from "./account-admission.js";
import { respondLocally, type FrontRequest } from "./front.js";
import { identify } from "./identify.js";

export interface RequestContext {
  /** Whether the box knows what it has to know before it serves. */
  ready(): boolean;
  readonly feed: DesiredFeed;
  readonly codec: RequestCodec;
  readonly forward: ForwardContext;
  readonly quota: AccountQuota;
  readonly metrics: Metrics;
  /** Name of an account in metrics. */
  accountLabel(account: string | undefined): string;
}

const notReadyRetryAfterMs: Milliseconds = 500;
/** The account has used up its limit. */
const overLimitStatus = 429;

/** Works the fingerprint out when it is first asked for: most requests never need theirs. */
function lazyFingerprint(content: RequestContent): () => string {
  let known: string | undefined;
  return () => (known ??= fingerprintOf(content));
}

function toForwardedRequest(
  request: FrontRequest,
  terms: RequestMetadata,
  route: Route,
  account: ClientAccount | undefined,
  { configuration }: ActiveConfiguration,
): ForwardedRequest | undefined {
  const service = configuration.services.get(selectShare(route, terms.id).service);
  if (!service) return undefined;
  const heldMs = Math.min(terms.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    ...request,
    route,
    service,
    terms,
    account: account?.name,
    fingerprint: lazyFingerprint({ ...request, account: account?.name }),
    priority: account?.priority ?? route.priority,
    responseStartDueAt: request.arrivedAt + Math.min(heldMs, route.eventTimeoutMs ?? heldMs),
    deadlineAt: request.arrivedAt + heldMs,
    streamPosition: { lastEventId: terms.resumeAfter },
    triedTargets: new Set(),
    possibleRuns: 0,
    sends: 0,
    unwrittenSends: 0,
    maxStreamGapMs: 0,
    waitedForWeights: false,
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
  context.metrics.observe("linkfall_request_ms", "Time until the final answer.", tookMs);
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
    held: request.waitedForWeights,
    firstMs: request.firstByteAt && Math.round(request.firstByteAt - request.arrivedAt),
    objectiveMs: request.route.objectiveMs,
    gapMs: request.maxStreamGapMs > 0 ? Math.round(request.maxStreamGapMs) : undefined,
    ms: tookMs,
    leftMs: Math.round(request.deadlineAt - clock.now()),
    configuration: context.feed.activeConfiguration()?.configuration.version,
  });
}

/** Answers one request; what it needs to know of the deployment is of the moment of its arrival. */
export async function handleRequest(context: RequestContext, request: FrontRequest): Promise<void> {
  const { feed, codec, forward } = context;
  const terms = codec.readMetadata(request.headers);
  const refused = (status: number, why: string, retryAfterMs?: Milliseconds, more?: object) => {
    const { path } = request;
    forward.logger.event("requestRejected", { request: terms.id, status, why, path, ...more });
    respondLocally(request.sink, status, retryAfterMs);
  };
  const unreadable = codec.describeInvalidHeaders(request.headers);
  if (unreadable !== undefined) return refused(400, unreadable);
  const inForce = feed.activeConfiguration();
  if (!inForce || !context.ready())
    return refused(503, "no configuration yet", notReadyRetryAfterMs);
  const route = inForce.routes.find(request.host, request.path);
  if (!route) return refused(404, `no route in version ${inForce.configuration.version}`);
  const { version } = inForce.configuration;
  const caller = identify(inForce.keys, route, codec.readApiKey(request.headers));
  if (caller.kind === "unknown") {
    return refused(401, caller.why, undefined, { version, key: caller.fingerprint });
  }
  const forwarded = toForwardedRequest(request, terms, route, caller.account, inForce);
  if (!forwarded) return refused(503, "no such service", notReadyRetryAfterMs);
  const admission = await admitToQuota(context.quota, caller.account, terms, version);
  if (admission.kind === "refused") {
    const more = { account: forwarded.account, version, retryAfterMs: admission.retryAfterMs };
    context.metrics.count(
      "linkfall_account_refusals_total",
      "Requests over the limit of their account; accounts beyond the first 64 are summed.",
      { account: context.accountLabel(forwarded.account) },
    );
    return refused(overLimitStatus, "the account's limit is used up", admission.retryAfterMs, more);
  }
  const end = await forwardRequest(forward, forwarded);
  settleQuota(context.quota, admission.use, forwarded, end);
  recordEnd(context, forwarded, end, admission.use?.units);
}
