/** Learned capacities of targets, whose changes are logged and counted. */
import { type Fleet, fleetName } from "@linkfall/fleet";
import { metricsName } from "@linkfall/metrics";
import { createTargetCapacities, type TargetCapacities } from "@linkfall/target-capacity";
import type { BoxRuntime } from "./box-runtime.js";

/** Creates capacities of which nothing is known yet; they forget targets whose incarnation has ended. */
export function createLoggedCapacities({ kernel, ports }: BoxRuntime): TargetCapacities {
  const fleet: Fleet = kernel.find(fleetName);
  const metrics = kernel.find(metricsName);
  const capacities = createTargetCapacities(ports.clock, {
    serviceOf: (target) => fleet.find(target)?.listed.service ?? "",
    onChange: ({ target, service, relativeSpeed, useful }) => {
      ports.logger.event("targetCapacityChanged", { target, service, relativeSpeed, useful });
      metrics.count(
        "linkfall_target_capacity_changes_total",
        "Changes of a target's learned speed or useful concurrency by a step.",
        { service },
      );
    },
  });
  fleet.onIncarnationEnded(capacities.forget);
  return capacities;
}
