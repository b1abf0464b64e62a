/** A stand-in for the platform's list of boxes; what it shows lags behind. */
import type { Clock } from "@linkfall/kernel";
import type { BoxList, BoxListPort } from "@linkfall/ports";
import type { ListedBox, Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";

export interface BoxListCore extends BoxListPort {
  down: boolean;
  set(box: ListedBox): void;
  remove(box: string): void;
  setTargetLeaving(target: string, leaving: boolean): void;
}

/** Creates a list that shows changes `lagMs` late. */
export function createBoxListCore(clock: Clock, lagMs: Milliseconds): BoxListCore {
  const boxes = new Map<string, ListedBox>();
  const leaving = new Set<string>();
  let visibleList: BoxList = { boxes: [], leavingTargets: [] };
  const publish = () => {
    const next = { boxes: [...boxes.values()], leavingTargets: [...leaving] };
    clock.after(lagMs, () => {
      visibleList = next;
    });
  };
  const core: BoxListCore = {
    down: false,
    async read() {
      return core.down ? Left({ kind: "log_unavailable", reason: "down" }) : Right(visibleList);
    },
    set(box) {
      boxes.set(box.box, box);
      publish();
    },
    remove(box) {
      boxes.delete(box);
      publish();
    },
    setTargetLeaving(target, isLeaving) {
      if (isLeaving) leaving.add(target);
      else leaving.delete(target);
      publish();
    },
  };
  return core;
}
