/** Lets requests wait for a change of what the box believes of its targets. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { ResponseSink } from "./answer-sink.js";

export interface ChangeWaiter {
  /** Resolves at the next change, when the caller goes, or after `limitMs`. */
  wait(limitMs: Milliseconds, sink: ResponseSink): Promise<void>;
  /** Wakes all that wait. */
  wakeAll(): void;
}

/** Creates a waiter. */
export function createChangeWaiter(clock: Clock): ChangeWaiter {
  let waiters = new Set<() => void>();
  return {
    wait: (timeoutMs, sink) =>
      new Promise((resolve) => {
        const end = () => {
          cancel();
          waiters.delete(end);
          resolve();
        };
        const cancel = clock.after(timeoutMs, end);
        waiters.add(end);
        sink.onCallerGone(end);
      }),
    wakeAll() {
      const woken = waiters;
      waiters = new Set();
      for (const end of woken) end();
    },
  };
}
