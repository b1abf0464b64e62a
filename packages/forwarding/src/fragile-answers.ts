/** What answers of targets say about rejections that they survive, and rejections for want of room. */
import type { TargetView } from "@linkfall/fleet";
import type { ResponseMetadata } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { SendContext } from "./send-to-target.js";

/** Statuses of a target that has no room for a request. */
const noRoomStatuses: ReadonlySet<number> = new Set([429, 503]);
const lowestErrorStatus = 500;

/** Whether a response with this status rejects the request for want of room. */
export function isRejectionForRoom(status: number, misdirected: boolean): boolean {
  return !misdirected && noRoomStatuses.has(status);
}

/** Records whether the target says in the response that it is fragile, and a rejection if it is. */
export function recordFragility(
  { fleet, fragileTargets, logger, metrics }: SendContext,
  { service, terms }: ForwardedRequest,
  target: TargetView,
  sentMsAgo: Milliseconds,
  status: number,
  { rejectionAllowance: notice, notRun, misdirected }: ResponseMetadata,
): void {
  const { id } = target.listed;
  // Ignores responses of an earlier incarnation, and of another target at the address.
  if (fleet.find(id) !== target || misdirected) return;
  if (notice.kind === "unreadable")
    logger.event("rejectionAllowanceUnreadable", { target: id, text: notice.text });
  const served = status < lowestErrorStatus && !notRun;
  fragileTargets.recordAnswer({ target: id, notice, sentMsAgo, served });
  if (fragileTargets.limitOf(id) === undefined) return;
  if (!isRejectionForRoom(status, misdirected)) return;
  logger.event("fragileTargetRejected", { request: terms.id, target: id, status });
  metrics.rejectedByFragileTarget(service.name);
}
