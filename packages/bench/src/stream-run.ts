/** Plays streams that begin at all boxes, and the take-ups after one box was killed, against one way of knowing their versions. */
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { recordingLogger } from "@linkfall/logger";
import { rankNodes } from "@linkfall/rendezvous";
import {
  createStreamVersions,
  type KeeperCounts,
  type StreamKey,
  streamKey,
  type StreamVersions,
} from "@linkfall/stream-versions";
import type { Milliseconds } from "@linkfall/types";
import { Right } from "purify-ts";

export interface StreamLoad {
  readonly boxes: number;
  readonly keeperCounts: KeeperCounts;
  /** Number of boxes that record streams in the store. */
  readonly recorders: number;
}

export interface StreamResult {
  /** Messages, without their answers, that one box sends per second while streams begin. */
  readonly messagesPerSecond: number;
  /** Bytes of these messages per second, uncompressed. */
  readonly bytesPerSecond: number;
  /** Writes of all boxes to the store per second. */
  readonly storeWritesPerSecond: number;
  /** Fraction of the killed box's streams that other boxes know. */
  readonly knownShare: number;
  /** Longest time in which a box found out. */
  readonly maxLookUpMs: Milliseconds;
  /** Messages of all boxes for one stream that was taken up. */
  readonly messagesPerTakeUp: number;
}

const streamsPerSecond = 6.6;
const durationSeconds = 5;
/** The latest streams of the killed box, which are still open. */
const openStreams = 20;
const wireMs: Milliseconds = 1.4;
const settlingMs: Milliseconds = 1_000;
const service = "engines";
const softwareVersion = "v1";

interface Traffic {
  messages: number;
  bytes: number;
  /** Writes of all boxes to the store. */
  storeWrites: number;
}

interface Boxes {
  readonly clock: VirtualClock;
  readonly all: readonly StreamVersions[];
  readonly traffic: Traffic;
  /** Makes a box silent; the others no longer rank it. */
  kill(index: number): void;
}

const addressOf = (index: number) => `10.1.0.${index}:7380`;

function createBoxes({ boxes: count, keeperCounts, recorders }: StreamLoad): Boxes {
  const clock = createVirtualClock();
  const traffic: Traffic = { messages: 0, bytes: 0, storeWrites: 0 };
  const addresses = Array.from({ length: count }, (_, index) => addressOf(index));
  let alive: readonly string[] = addresses;
  const byAddress = new Map<string, StreamVersions>();
  for (const self of addresses) {
    const box = createStreamVersions({
      clock,
      keeperCounts,
      self,
      logger: recordingLogger(() => undefined),
      log: {
        async put() {
          traffic.storeWrites += 1;
          return Right({ offset: traffic.storeWrites, generation: 0 });
        },
        readChanges: async () => Right({ records: [], end: 0, generation: 0 }),
        onNewGeneration: () => undefined,
      },
      boxCount: () => count,
      rankKeepers: (key) => rankNodes(key, alive),
      rankRecorders: (key) => rankNodes(key, rankNodes("recorders", alive).slice(0, recorders)),
      soleVersion: () => undefined,
      reachesMajority: () => true,
      readVersions: async () => true,
      hasMetOthers: () => Promise.resolve(),
      versionsOf: () => ["v1", "v2"],
      async send(address, message) {
        traffic.messages += 1;
        traffic.bytes += JSON.stringify(message).length;
        await new Promise<void>((resolve) => void clock.after(2 * wireMs, resolve));
        return alive.includes(address) ? byAddress.get(address)?.receive(message) : undefined;
      },
    });
    byAddress.set(self, box);
  }
  return {
    clock,
    all: [...byAddress.values()],
    traffic,
    kill: (index) => void (alive = alive.filter((address) => address !== addressOf(index))),
  };
}

/** Begins streams at all boxes at random times; returns those of the first box. */
async function beginStreams({ clock, all }: Boxes, seed: number): Promise<readonly StreamKey[]> {
  const random = seededRandom(seed);
  const first: StreamKey[] = [];
  for (const [index, box] of all.entries()) {
    for (let number = 0; number < streamsPerSecond * durationSeconds; number++) {
      const key = streamKey({ service, firstAttempt: `${index} ${number}` });
      if (index === 0) first.push(key);
      const target = "target";
      clock.after(random.nextFloat() * durationSeconds * 1000, () =>
        box.recordBegun({ key, service, target, softwareVersion, resumable: true }),
      );
    }
  }
  await clock.runUntil(durationSeconds * 1000 + settlingMs);
  return first;
}

/** Runs the load once. */
export async function runStreams(load: StreamLoad, seed: number): Promise<StreamResult> {
  const boxes = createBoxes(load);
  const { clock, all, traffic, kill } = boxes;
  const lost = (await beginStreams(boxes, seed)).slice(-openStreams);
  const perBox = durationSeconds * load.boxes;
  const begun = { ...traffic };
  kill(0);
  const random = seededRandom(seed + 1);
  const startedAt = clock.now();
  let maxLookUpMs = 0;
  const lookUps = lost.map(async (key) => {
    const found = await all[1 + random.nextInt(all.length - 1)].lookUp(key, service);
    maxLookUpMs = Math.max(maxLookUpMs, clock.now() - startedAt);
    return found.kind === "known";
  });
  await clock.runUntil(startedAt + settlingMs);
  const known = (await Promise.all(lookUps)).filter(Boolean).length;
  return {
    messagesPerSecond: begun.messages / perBox,
    bytesPerSecond: begun.bytes / perBox,
    storeWritesPerSecond: begun.storeWrites / durationSeconds,
    knownShare: known / lost.length,
    maxLookUpMs,
    messagesPerTakeUp: (traffic.messages - begun.messages) / lost.length,
  };
}
