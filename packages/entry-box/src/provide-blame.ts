/** What this box knows of requests that end targets: told to the others at once, and kept in the store. */
import { peersName } from "@linkfall/box-peers";
import {
  type CrashBlame,
  crashBlameName,
  createCrashBlame,
  createHeldStore,
  type HeldStore,
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
  blame.onDecided(({ request, held, revision, service, route, account, targets }) => {
    const facts = { fingerprint: request, revision, service, route, account };
    if (held) logger.event("requestHeldBack", { ...facts, targets: targets.join(" ") });
    else logger.event("requestReleased", facts);
  });
  const store = createHeldStore(blame, heldStream, { clock, logger });
  kernel.provide(heldStoreName, store, store);
  kernel
    .find(metricsName)
    .gauge(
      "linkfall_held_requests",
      "Requests that are held back since targets ended under them.",
      () => blame.held().length,
    );
  return blame;
}
