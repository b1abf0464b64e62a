/** From a request as it was read to its way through the box. */
import type { AccountQuota } from "@linkfall/account-quota";
import type { ConfigurationInForce, DesiredFeed } from "@linkfall/desired-feed";
import {
  type ForwardContext,
  type ForwardedRequest,
  forwardRequest,
  type RequestEnd,
} from "@linkfall/forwarding";
import type { Metrics } from "@linkfall/metrics";
import type { RequestCodec } from "@linkfall/ports";
import { fingerprintOf, type RequestContent } from "@linkfall/request-fingerprint";
import { shareFor } from "@linkfall/route-table";
import type { ClientAccount, Milliseconds, RequestMetadata, Route } from "@linkfall/types";
import { admitToQuota, settleQuota } from "./account-admission.js";
import { answerOwn, type FrontRequest } from "./front.js";
import { identify } from "./identify.js";

export interface HandleContext {
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

const notReadyMs: Milliseconds = 500;
/** The account has used up its limit. */
const overLimitStatus = 429;

/** Works the fingerprint out when it is first asked for: most requests never need theirs. */
function fingerprintLater(content: RequestContent): () => string {
  let known: string | undefined;
  return () => (known ??= fingerprintOf(content));
}

function toForwarded(
  request: FrontRequest,
  terms: RequestMetadata,
  route: Route,
  account: ClientAccount | undefined,
  { configuration }: ConfigurationInForce,
): ForwardedRequest | undefined {
  const service = configuration.services.get(shareFor(route, terms.id).service);
  if (!service) return undefined;
  const heldMs = Math.min(terms.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    ...request,
    route,
    service,
    terms,
    account: account?.name,
    fingerprint: fingerprintLater({ ...request, account: account?.name }),
    priority: account?.priority ?? route.priority,
    awaitedUntil: request.arrivedAt + Math.min(heldMs, route.eventTimeoutMs ?? heldMs),
    endsAt: request.arrivedAt + heldMs,
    position: { lastId: terms.resumeAfter },
    tried: new Set(),
    runs: 0,
    sends: 0,
    unwritten: 0,
    longestGapMs: 0,
    held: false,
    lastTry: false,
  };
}

function record(
  context: HandleContext,
  request: ForwardedRequest,
  end: RequestEnd,
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
    runs: request.runs,
    held: request.held,
    firstMs: request.firstAt && Math.round(request.firstAt - request.arrivedAt),
    objectiveMs: request.route.objectiveMs,
    gapMs: request.longestGapMs > 0 ? Math.round(request.longestGapMs) : undefined,
    ms: tookMs,
    leftMs: Math.round(request.endsAt - clock.now()),
    configuration: context.feed.inForce()?.configuration.version,
  });
}

/** Answers one request; what it needs to know of the deployment is of the moment of its arrival. */
export async function handleRequest(context: HandleContext, request: FrontRequest): Promise<void> {
  const { feed, codec, forward } = context;
  const terms = codec.readMetadata(request.headers);
  const refused = (status: number, why: string, retryAfterMs?: Milliseconds, more?: object) => {
    const { path } = request;
    forward.logger.event("requestRejected", { request: terms.id, status, why, path, ...more });
    answerOwn(request.sink, status, retryAfterMs);
  };
  const unreadable = codec.describeInvalidHeaders(request.headers);
  if (unreadable !== undefined) return refused(400, unreadable);
  const inForce = feed.inForce();
  if (!inForce || !context.ready()) return refused(503, "no configuration yet", notReadyMs);
  const route = inForce.routes.find(request.host, request.path);
  if (!route) return refused(404, `no route in version ${inForce.configuration.version}`);
  const { version } = inForce.configuration;
  const caller = identify(inForce.keys, route, codec.readApiKey(request.headers));
  if (caller.kind === "unknown") {
    return refused(401, caller.why, undefined, { version, key: caller.fingerprint });
  }
  const forwarded = toForwarded(request, terms, route, caller.account, inForce);
  if (!forwarded) return refused(503, "no such service", notReadyMs);
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
  record(context, forwarded, end, admission.use?.units);
}
