/** What this box knows of requests that end targets: told to the others at once, and kept in the store. */
import { peersName } from "@linkfall/box-peers";
import {
  type CrashBlame,
  crashBlameName,
  createCrashBlame,
  createHeldStore,
  type HeldStore,
  reportDecisions,
} from "@linkfall/crash-blame";
import { serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";
import type { BoxParts } from "./box-parts.js";

export const heldStoreName = serviceName<HeldStore>("held-store");

/** Requests of one target are lost together: they are told of in one message. */
const gatherMs: Milliseconds = 10;

/** Tells the others soon; what is found meanwhile goes with it. */
function createTeller({ kernel, ports }: BoxParts): () => void {
  let telling = false;
  return () => {
    if (telling) return;
    telling = true;
    ports.clock.after(gatherMs, () => {
      telling = false;
      kernel.find(peersName).send();
    });
  };
}

export function provideBlame(parts: BoxParts): CrashBlame {
  const { kernel, ports } = parts;
  const { clock, logger, heldStream } = ports;
  const blame = kernel.provide(crashBlameName, createCrashBlame(clock));
  blame.onNews(createTeller(parts));
  reportDecisions(blame, { logger, metrics: kernel.find(metricsName) });
  const store = createHeldStore(blame, heldStream, { clock, logger });
  kernel.provide(heldStoreName, store, store);
  return blame;
}
