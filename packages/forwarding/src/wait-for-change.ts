/** Lets requests wait for a change of what the box believes of its targets. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { AnswerSink } from "./answer-sink.js";

export interface ChangeWaiter {
  /** Resolves at the next change, when the caller goes, or after `limitMs`. */
  next(limitMs: Milliseconds, sink: AnswerSink): Promise<void>;
  /** Wakes all that wait. */
  wake(): void;
}

/** Creates a waiter. */
export function createChangeWaiter(clock: Clock): ChangeWaiter {
  let waiting = new Set<() => void>();
  return {
    next: (limitMs, sink) =>
      new Promise((resolve) => {
        const end = () => {
          cancel();
          waiting.delete(end);
          resolve();
        };
        const cancel = clock.after(limitMs, end);
        waiting.add(end);
        sink.onGone(end);
      }),
    wake() {
      const woken = waiting;
      waiting = new Set();
      for (const end of woken) end();
    },
  };
}
