/** Gauges of the box's current state. */
import { peersName } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { fleetName } from "@linkfall/fleet";
import { metricsName } from "@linkfall/metrics";
import { orderLeaseName } from "@linkfall/order-lease";
import type { BoxRuntime } from "./box-runtime.js";
import type { Front } from "./front.js";

const millisecondsPerSecond = 1000;

/** Registers the gauges, which are read when the metrics are scraped. */
export function registerGauges({ kernel, ports }: BoxRuntime, front: Front): void {
  const metrics = kernel.find(metricsName);
  const feed = kernel.find(desiredFeedName);
  const lease = kernel.find(orderLeaseName);
  const fleet = kernel.find(fleetName);
  metrics.gauge(
    "linkfall_configuration_version",
    "Version of the configuration in force.",
    () => feed.activeConfiguration()?.configuration.version ?? -1,
  );
  metrics.gauge(
    "linkfall_configuration_age_seconds",
    "Time since the configuration took effect on this box.",
    () =>
      Math.round(
        (ports.clock.now() - (feed.activeConfiguration()?.activeSince ?? 0)) /
          millisecondsPerSecond,
      ),
  );
  metrics.gauge("linkfall_store_reachable", "1 while this box can reach the store.", () =>
    feed.reachesStore() ? 1 : 0,
  );
  metrics.gauge(
    "linkfall_engine_reports_age_ms",
    "Age of the oldest report of an engine's loaded models.",
    () => {
      const engines = fleet.all().filter(({ holdings }) => holdings.sequence >= 0);
      const oldest = Math.min(
        ports.clock.now(),
        ...engines.map(({ holdingsConfirmedAt: holdingsAt }) => holdingsAt),
      );
      return Math.round(ports.clock.now() - oldest);
    },
  );
  metrics.gauge("linkfall_store_read_here", "1 while this box reads the store directly.", () =>
    feed.readsStore() ? 1 : 0,
  );
  metrics.gauge(
    "linkfall_requests_open",
    "Requests without a complete response.",
    () => front.openRequests().size,
  );
  metrics.gauge(
    "linkfall_boxes_heard",
    "Other boxes that this box considers alive.",
    () => kernel.find(peersName).alive().length,
  );
  metrics.gauge("linkfall_lease_held", "1 while this box holds the order lease.", () =>
    lease.epoch() === undefined ? 0 : 1,
  );
  metrics.gauge("linkfall_targets_known", "Targets known to this box.", () => fleet.all().length);
  metrics.gauge(
    "linkfall_targets_missing",
    "Targets whose registration has lapsed.",
    () => fleet.all().filter((target) => target.unlistedAt !== undefined).length,
  );
}
