/** Says in the log and in metrics what a box decides on requests that end targets. */
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { HeldRequest } from "@linkfall/types";
import type { CrashBlame } from "./index.js";

function logDecision(logger: Logger, word: HeldRequest): void {
  const { request, held, revision, service, route, account, targets } = word;
  const facts = { fingerprint: request, revision, service, route, account };
  if (held) logger.event("requestHeldBack", { ...facts, targets: targets.join(" ") });
  else logger.event("requestReleased", facts);
}

export function reportDecisions(
  blame: CrashBlame,
  { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics },
): void {
  blame.onDecision((word) => logDecision(logger, word));
  metrics.gauge(
    "linkfall_held_requests",
    "Requests that are held back since targets ended under them.",
    () => blame.heldRequests().length,
  );
}
