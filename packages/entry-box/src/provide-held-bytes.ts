/** Provides the bounds on the bytes that the box holds. */
import {
  createHeldBytes,
  createTargetBodies,
  type HeldBytes,
  heldKinds,
  type TargetBodies,
} from "@linkfall/held-bytes";
import { repeatEvery, serviceName } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";

const heldBytesName = serviceName<HeldBytes>("held-bytes");
const bytesPerMegabyte = 1_048_576;
/**
 * Share of the bound that the bodies in flight to one target may take: a target that stops reading leaves room for the bodies of
 * three others.
 */
const targetBodiesShare = 0.25;
/** Changes are logged at most once in this time, with their number. */
const logIntervalMs: Milliseconds = 1_000;

/** Memory of a box that holds nothing. */
const ownMegabytes = 100;
/** Share of the other memory that held bytes may take: buffers that have been released take memory until they are collected. */
const maxShareOfRest = 1 / 5;
/** Less would be taken by the reads of a few connections. */
const minHeldMegabytes = 12;

function maxHeldBytes({ settings: { box, memory } }: BoxRuntime): number {
  const rest = Math.max(minHeldMegabytes, (box.memory_mb - ownMegabytes) * maxShareOfRest);
  return Math.min(rest, box.memory_mb * memory.held_share) * bytesPerMegabyte;
}

/** Logs what the box gave up since the last line. */
function logChanges(logger: Logger, before: HeldCounts, now: HeldCounts): void {
  const endedResponses = now.endedResponses - before.endedResponses;
  const refusedBodies = now.refusedBodies - before.refusedBodies;
  const bytes = Object.values(now.bytes).reduce((sum, kind) => sum + kind);
  const detail = { bytes, maxBytes: now.maxBytes };
  if (endedResponses > 0)
    logger.event("unreadResponsesEnded", { count: endedResponses, ...detail });
  if (refusedBodies > 0)
    logger.event("bodiesRefusedForMemory", { count: refusedBodies, ...detail });
  const droppedBodies = now.droppedBodies - before.droppedBodies;
  if (droppedBodies > 0)
    logger.event("incompleteBodiesDropped", { count: droppedBodies, ...detail });
  const droppedUnforwarded = now.droppedUnforwarded - before.droppedUnforwarded;
  if (droppedUnforwarded > 0)
    logger.event("unforwardedResponsesGaveWay", { count: droppedUnforwarded, ...detail });
  if (now.pausedResponses > 0 && before.pausedResponses === 0)
    logger.event("targetsHeldBack", { count: now.pausedResponses, ...detail });
}

type HeldCounts = ReturnType<HeldBytes["summary"]>;

/** Creates the bound of this box with its metrics. */
export function provideHeldBytes(runtime: BoxRuntime): HeldBytes {
  const maxBytes = maxHeldBytes(runtime);
  const { kernel, ports } = runtime;
  const { clock, logger } = ports;
  const metrics = kernel.find(metricsName);
  const held = createHeldBytes(clock, ports.random, maxBytes);
  for (const kind of heldKinds)
    metrics.gauge(
      `linkfall_held_${kind}_bytes`,
      "Bytes that this box holds for callers and targets, by kind.",
      () => held.summary().bytes[kind],
    );
  metrics.gauge(
    "linkfall_held_max_bytes",
    "Bound on the bytes that this box holds.",
    () => maxBytes,
  );
  metrics.gauge(
    "linkfall_unread_responses_ended",
    "Responses ended since the start because their callers did not read and the box was at its bound.",
    () => held.summary().endedResponses,
  );
  metrics.gauge(
    "linkfall_bodies_refused",
    "Request bodies refused since the start because the box was at its bound.",
    () => held.summary().refusedBodies,
  );
  metrics.gauge(
    "linkfall_incomplete_bodies_dropped",
    "Request bodies dropped since the start to make room for others, as they were not complete.",
    () => held.summary().droppedBodies,
  );
  metrics.gauge(
    "linkfall_unforwarded_responses_gave_way",
    "Times since the start that parts of responses were passed on early or dropped, as too many bytes were kept of them.",
    () => held.summary().droppedUnforwarded,
  );
  metrics.gauge(
    "linkfall_targets_held_back",
    "Responses that are not read from their targets until their callers read.",
    () => held.summary().pausedResponses,
  );
  let logged = held.summary();
  const loop = repeatEvery(clock, ports.random, logIntervalMs, () => {
    const now = held.summary();
    logChanges(logger, logged, now);
    logged = now;
  });
  return kernel.provide(heldBytesName, held, loop);
}

/** Creates the bound on bodies in flight to each target. */
export function createOwnTargetBodies(runtime: BoxRuntime): TargetBodies {
  return createTargetBodies(runtime.ports.clock, maxHeldBytes(runtime) * targetBodiesShare);
}
