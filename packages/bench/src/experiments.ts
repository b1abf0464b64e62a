/** Experiments and the variants that each compares. */
import type { Deployment } from "./deployments.js";
import type { Variant } from "./policy-run.js";

/** Production timings instead of the shortened ones of the soak tests. */
const productionSettings = {
  membership: { heartbeat_ms: 500, suspect_ms: 2_500, forget_ms: 30_000, stale_serving_ms: 60_000 },
  lease: { lease_ms: 10_000, renew_ms: 3_000, margin_ms: 1_500 },
  targets: { report_poll_ms: 500, silent_lost_ms: 8_000, load_timeout_ms: 60_000, eject_ms: 5_000 },
  placement: { plan_ms: 1_000, cooldown_ms: 5_000, moves_per_minute: 20 },
  callers: { max_in_flight: 2_000 },
};

function routingVariant(name: string, keys: Readonly<Record<string, string | number>>): Variant {
  return { name, settings: { ...productionSettings, routing: keys } };
}

function placementVariant(name: string, keys: Readonly<Record<string, string | number>>): Variant {
  return {
    name,
    settings: { ...productionSettings, placement: { ...productionSettings.placement, ...keys } },
  };
}

function targetsVariant(name: string, keys: Readonly<Record<string, string | number>>): Variant {
  return {
    name,
    settings: { ...productionSettings, targets: { ...productionSettings.targets, ...keys } },
  };
}

/** Report timings for the fleet size expected in two years (docs/CAPACITY.md). */
const slowReports = { report_poll_ms: 1_500, report_stale_ms: 4_500 };

/** Sets two replicas for every model. */
function twoReplicas(deployment: Deployment): Deployment["resources"] {
  return deployment.resources.map((resource) =>
    resource.kind === "model" ? { ...resource, minReplicas: 2 } : resource,
  );
}

export const experiments: Readonly<Record<string, readonly Variant[]>> = {
  routing: [
    routingVariant("random", { policy: "random" }),
    routingVariant("round robin", { policy: "round_robin" }),
    routingVariant("least load", { policy: "least_load" }),
    routingVariant("two choices", { policy: "two_choices" }),
    routingVariant("affinity, slack 0.125", { policy: "affinity", affinity_slack: 0.125 }),
    routingVariant("affinity, slack 0.25", { policy: "affinity", affinity_slack: 0.25 }),
    routingVariant("affinity, slack 0.5", { policy: "affinity", affinity_slack: 0.5 }),
    routingVariant("affinity, slack 1", { policy: "affinity", affinity_slack: 1 }),
  ],
  reports: [
    targetsVariant("every box reads every engine", { report_readers: 0 }),
    targetsVariant("one box reads each engine", { report_readers: 1 }),
    targetsVariant("one box, every 1.5 s", { report_readers: 1, ...slowReports }),
    targetsVariant("every box, every 1.5 s", { report_readers: 0, ...slowReports }),
  ],
  replicas: [
    placementVariant("one replica", {}),
    { ...placementVariant("two replicas", {}), resources: twoReplicas },
  ],
  placement: [
    placementVariant("no spare replicas", { moves_per_minute: 1, cooldown_ms: 3_600_000 }),
    placementVariant("6 a minute, cool-down 15 s", { moves_per_minute: 6, cooldown_ms: 15_000 }),
    placementVariant("20 a minute, cool-down 15 s", { cooldown_ms: 15_000 }),
    placementVariant("20 a minute, cool-down 5 s", {}),
    placementVariant("60 a minute, cool-down 5 s", { moves_per_minute: 60 }),
    placementVariant("20 a minute, cool-down 2 s", { cooldown_ms: 2_000 }),
  ],
};
