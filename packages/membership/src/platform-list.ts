/** What the platform's list shows of boxes and targets, read at intervals. */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { BoxListPort } from "@linkfall/ports";
import type { ListedBox, Milliseconds } from "@linkfall/types";

/** Its life cycle is the reading at intervals. */
export interface PlatformList extends Service {
  /** Reads the list once. */
  read(): Promise<void>;
  boxes(): readonly ListedBox[];
  /** Peer addresses of boxes that the list shows as leaving. */
  leavingBoxes(): ReadonlySet<string>;
  /** Names of targets that the list shows as leaving. */
  leavingTargets(): ReadonlySet<string>;
}

/** Creates a reader that keeps what it read last while the list is out. */
export function createPlatformList(
  clock: Clock,
  random: Random,
  port: BoxListPort,
  intervalMs: Milliseconds,
): PlatformList {
  let boxes: readonly ListedBox[] = [];
  let leavingTargets: ReadonlySet<string> = new Set();

  const read = async () => {
    const answer = await port.read();
    answer.ifRight((shown) => {
      boxes = shown.boxes;
      leavingTargets = new Set(shown.leavingTargets);
    });
  };

  const reads = repeatEvery(clock, random, intervalMs, read);
  return {
    read,
    boxes: () => boxes,
    leavingBoxes() {
      const leaving = boxes.filter((line) => line.state === "leaving");
      return new Set(leaving.map((line) => line.peerAddress));
    },
    leavingTargets: () => leavingTargets,
    start: reads.start,
    stop: reads.stop,
  };
}
