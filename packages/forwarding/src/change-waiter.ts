/** Lets requests wait for a change of the box's view of its targets. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { ResponseSink } from "./response-sink.js";

/** Longest wait, after which a request checks for a planned shutdown of its box. */
const maxWaitMs: Milliseconds = 250;

export interface ChangeWaiter {
  /** Resolves at the next change, when the caller disconnects, or after `timeoutMs`, at the latest after a quarter of a second. */
  wait(timeoutMs: Milliseconds, sink: ResponseSink): Promise<void>;
  /** Wakes all waiting requests. */
  wakeAll(): void;
}

/** Creates a waiter without waiting requests. */
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
        const cancel = clock.after(Math.min(timeoutMs, maxWaitMs), end);
        waiters.add(end);
        sink.onCallerGone(end);
      }),
    wakeAll() {
      const current = waiters;
      waiters = new Set();
      for (const end of current) end();
    },
  };
}
