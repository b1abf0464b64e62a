/** What this box knows of requests that end targets: told to the others at once, and kept in the store. */
import {
  type CrashBlame,
  crashBlameName,
  createCrashBlame,
  createHeldRequestStore,
  type HeldRequestStore,
  reportDecisions,
} from "@linkfall/crash-blame";
import { serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import type { BoxRuntime } from "./box-runtime.js";
import { createPeerNotifier } from "./tell-others.js";

export const heldStoreName = serviceName<HeldRequestStore>("held-store");

export function provideCrashBlame(parts: BoxRuntime): CrashBlame {
  const { kernel, ports } = parts;
  const { clock, logger, heldStream } = ports;
  const blame = kernel.provide(crashBlameName, createCrashBlame(clock));
  blame.onChange(createPeerNotifier(parts));
  reportDecisions(blame, { logger, metrics: kernel.find(metricsName) });
  const store = createHeldRequestStore(blame, heldStream, { clock, logger });
  kernel.provide(heldStoreName, store, store);
  return blame;
}
