/** What the services of one box share while they are wired. */
import { createPeerClient, type PeerClient } from "@linkfall/box-peers";
import type { EntrySettings } from "@linkfall/entry-settings";
import { clockName, createKernel, type Kernel, randomName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import { createModelDemandMeter, type ModelDemandMeter } from "@linkfall/model-demand";
import type { Incarnation } from "@linkfall/types";
import { type Activity, createActivity } from "./activity.js";
import type { EntryBoxPorts } from "./box-ports.js";
import { createPlannedStop, type PlannedStop } from "./planned-stop.js";

export interface BoxParts {
  readonly kernel: Kernel;
  readonly settings: EntrySettings;
  readonly ports: EntryBoxPorts;
  readonly incarnation: Incarnation;
  readonly stop: PlannedStop;
  readonly demand: ModelDemandMeter;
  readonly activity: Activity;
  readonly peerClient: PeerClient;
}

/** Creates the parts, with the services that every other one needs. */
export function createBoxParts(settings: EntrySettings, ports: EntryBoxPorts): BoxParts {
  const { clock, random, logger } = ports;
  const kernel = createKernel();
  kernel.provide(clockName, clock);
  kernel.provide(randomName, random);
  kernel.provide(loggerName, logger);
  kernel.provide(metricsName, ports.metrics);
  const activity = createActivity(clock, random, ports.busyShare);
  return {
    kernel,
    settings,
    ports,
    incarnation: `${settings.box.name}@${random.identifier()}`,
    stop: createPlannedStop(clock, settings),
    demand: createModelDemandMeter(clock),
    activity: kernel.provide({ name: "activity" }, activity, activity),
    peerClient: createPeerClient(clock, settings.peers.call_ms),
  };
}
