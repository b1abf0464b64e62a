/** The platform's list of boxes and targets, polled periodically. */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { BoxListPort } from "@linkfall/ports";
import type { ListedBox, Milliseconds } from "@linkfall/types";

/** Latest state of the list; polls it between `start` and `stop`. */
export interface PlatformList extends Service {
  /** Reads the list once. */
  read(): Promise<void>;
  boxes(): readonly ListedBox[];
  /** Peer addresses of boxes marked as leaving. */
  leavingBoxes(): ReadonlySet<string>;
  /** Names of targets marked as leaving. */
  leavingTargets(): ReadonlySet<string>;
}

/** Creates a poller that keeps the last known list while the platform does not answer. */
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
    answer.ifRight((list) => {
      boxes = list.boxes;
      leavingTargets = new Set(list.leavingTargets);
    });
  };

  const polling = repeatEvery(clock, random, intervalMs, read);
  return {
    read,
    boxes: () => boxes,
    leavingBoxes() {
      const leaving = boxes.filter((box) => box.state === "leaving");
      return new Set(leaving.map((box) => box.peerAddress));
    },
    leavingTargets: () => leavingTargets,
    start: polling.start,
    stop: polling.stop,
  };
}
