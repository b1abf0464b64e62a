/** Dependencies shared by the services of one box. */
import { createPeerClient, type PeerClient } from "@linkfall/box-peers";
import type { EntrySettings } from "@linkfall/entry-settings";
import { clockName, createKernel, type Kernel, randomName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import { createModelDemandMeter, type ModelDemandMeter } from "@linkfall/model-demand";
import type { Incarnation } from "@linkfall/types";
import { type ActivityMonitor, createActivityMonitor } from "./activity-monitor.js";
import type { EntryBoxPorts } from "./box-ports.js";
import { createGracefulShutdown, type GracefulShutdown } from "./planned-stop.js";

export interface BoxRuntime {
  readonly kernel: Kernel;
  readonly settings: EntrySettings;
  readonly ports: EntryBoxPorts;
  readonly incarnation: Incarnation;
  readonly shutdown: GracefulShutdown;
  readonly demand: ModelDemandMeter;
  readonly activity: ActivityMonitor;
  readonly peerClient: PeerClient;
}

/** Creates the runtime and registers the services that all others depend on. */
export function createBoxRuntime(settings: EntrySettings, ports: EntryBoxPorts): BoxRuntime {
  const { clock, random, logger } = ports;
  const kernel = createKernel();
  kernel.provide(clockName, clock);
  kernel.provide(randomName, random);
  kernel.provide(loggerName, logger);
  kernel.provide(metricsName, ports.metrics);
  const activity = createActivityMonitor(clock, random, ports.processorUtilization);
  return {
    kernel,
    settings,
    ports,
    incarnation: `${settings.box.name}@${random.identifier()}`,
    shutdown: createGracefulShutdown(clock, settings),
    demand: createModelDemandMeter(clock),
    activity: kernel.provide({ name: "activity" }, activity, activity),
    peerClient: createPeerClient(clock, settings.peers.call_ms, (problem) =>
      logger.event("badPeerMessage", { problem }),
    ),
  };
}
