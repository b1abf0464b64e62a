/** The variants that each experiment compares. */
import type { Deployment } from "./deployments.js";
import type { Variant } from "./policy-run.js";

/** Times as in production, not as in the short runs of the soak. */
const productionSettings = {
  membership: { heartbeat_ms: 500, suspect_ms: 2_500, forget_ms: 30_000, stale_serving_ms: 60_000 },
  lease: { lease_ms: 10_000, renew_ms: 3_000, margin_ms: 1_500 },
  targets: { report_poll_ms: 500, silent_lost_ms: 8_000, load_timeout_ms: 60_000, eject_ms: 5_000 },
  placement: { plan_ms: 1_000, cooldown_ms: 5_000, moves_per_minute: 20 },
  callers: { max_in_flight: 2_000 },
};

function routing(name: string, keys: Readonly<Record<string, string | number>>): Variant {
  return { name, settings: { ...productionSettings, routing: keys } };
}

function placement(name: string, keys: Readonly<Record<string, string | number>>): Variant {
  return {
    name,
    settings: { ...productionSettings, placement: { ...productionSettings.placement, ...keys } },
  };
}

function targets(name: string, keys: Readonly<Record<string, string | number>>): Variant {
  return {
    name,
    settings: { ...productionSettings, targets: { ...productionSettings.targets, ...keys } },
  };
}

/** Times of reports at the two-year size (docs/CAPACITY.md). */
const slowReports = { report_poll_ms: 1_500, report_stale_ms: 4_500 };

/** Every model is declared with two replicas. */
function twoReplicas(deployment: Deployment): Deployment["resources"] {
  return deployment.resources.map((resource) =>
    resource.kind === "model" ? { ...resource, minReplicas: 2 } : resource,
  );
}

export const experiments: Readonly<Record<string, readonly Variant[]>> = {
  routing: [
    routing("random", { policy: "random" }),
    routing("round robin", { policy: "round_robin" }),
    routing("least load", { policy: "least_load" }),
    routing("two choices", { policy: "two_choices" }),
    routing("affinity, slack 0.125", { policy: "affinity", affinity_slack: 0.125 }),
    routing("affinity, slack 0.25", { policy: "affinity", affinity_slack: 0.25 }),
    routing("affinity, slack 0.5", { policy: "affinity", affinity_slack: 0.5 }),
    routing("affinity, slack 1", { policy: "affinity", affinity_slack: 1 }),
  ],
  reports: [
    targets("every box reads every engine", { report_readers: 0 }),
    targets("one box reads each engine", { report_readers: 1 }),
    targets("one box, every 1.5 s", { report_readers: 1, ...slowReports }),
    targets("every box, every 1.5 s", { report_readers: 0, ...slowReports }),
  ],
  replicas: [
    placement("one replica", {}),
    { ...placement("two replicas", {}), resources: twoReplicas },
  ],
  placement: [
    placement("no spare replicas", { moves_per_minute: 1, cooldown_ms: 3_600_000 }),
    placement("6 a minute, cool-down 15 s", { moves_per_minute: 6, cooldown_ms: 15_000 }),
    placement("20 a minute, cool-down 15 s", { cooldown_ms: 15_000 }),
    placement("20 a minute, cool-down 5 s", {}),
    placement("60 a minute, cool-down 5 s", { moves_per_minute: 60 }),
    placement("20 a minute, cool-down 2 s", { cooldown_ms: 2_000 }),
  ],
};
