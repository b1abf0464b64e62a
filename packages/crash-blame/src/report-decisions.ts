/** Reports the decisions on held requests to the log and the metrics. */
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { HeldRequest } from "@linkfall/types";
import type { CrashBlame } from "./index.js";

function logDecision(logger: Logger, heldRequest: HeldRequest): void {
  const { request, kind, text, held, revision, service, route, account, targets, evidence } =
    heldRequest;
  const fields = { fingerprint: request, kind, text, revision, service, route, account };
  if (held) logger.event("requestHeldBack", { ...fields, targets: targets.join(" "), ...evidence });
  else logger.event("requestReleased", fields);
}

/** Logs each decision of this box and registers a gauge of the held requests. */
export function reportDecisions(
  blame: CrashBlame,
  { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics },
): void {
  blame.onDecision((heldRequest) => logDecision(logger, heldRequest));
  metrics.gauge(
    "linkfall_held_requests",
    "Requests, and parts and adapters that requests share, that are held back because targets crashed under them.",
    () => blame.heldRequests().length,
  );
}
