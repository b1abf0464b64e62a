/** Records of requests that crash targets: sent to the other boxes immediately and persisted in the store. */
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
import { createPeerNotifier } from "./peer-notifier.js";

export const heldStoreName = serviceName<HeldRequestStore>("held-store");

/** Registers the records of requests that crash targets, and the store that persists them. */
export function provideCrashBlame(runtime: BoxRuntime): CrashBlame {
  const { kernel, ports, incarnation } = runtime;
  const { clock, logger, heldStream } = ports;
  const blame = kernel.provide(crashBlameName, createCrashBlame(clock, incarnation));
  blame.onChange(createPeerNotifier(runtime));
  reportDecisions(blame, { logger, metrics: kernel.find(metricsName) });
  const store = createHeldRequestStore(blame, heldStream, { clock, logger });
  kernel.provide(heldStoreName, store, store);
  return blame;
}
