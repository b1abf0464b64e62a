/** A clock that moves only when it is told to, for tests and measurements. */
import type { Milliseconds } from "@linkfall/types";
import type { Clock } from "./clock.js";

interface PendingTimer {
  readonly dueAtMs: Milliseconds;
  readonly sequence: number;
  readonly action: () => void;
  cancelled: boolean;
}

/** Time at which virtual wall-clock time starts. */
const wallClockStartMs = Date.UTC(2026, 0, 1);

/** A clock under the control of its owner. */
export interface VirtualClock extends Clock {
  /** Runs all timers that are due up to `time`, letting promises settle between them. */
  runUntil(time: Milliseconds): Promise<void>;
  /** Lets the machine sleep: the steady clock and its timers stand still meanwhile. */
  suspend(time: Milliseconds): void;
}

/** Lets every promise that can settle now do so. */
function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** A binary heap ordered by due time, then by order of creation. */
function timerHeap() {
  const heap: PendingTimer[] = [];
  const before = (a: PendingTimer, b: PendingTimer) =>
    a.dueAtMs < b.dueAtMs || (a.dueAtMs === b.dueAtMs && a.sequence < b.sequence);
  const swap = (i: number, j: number) => {
    const swapped = heap[i];
    heap[i] = heap[j];
    heap[j] = swapped;
  };
  return {
    peek: () => heap[0] as PendingTimer | undefined,
    push(timer: PendingTimer) {
      heap.push(timer);
      let child = heap.length - 1;
      while (child > 0) {
        const parent = (child - 1) >> 1;
        if (!before(heap[child], heap[parent])) return;
        swap(child, parent);
        child = parent;
      }
    },
    pop() {
      const last = heap.pop();
      if (last === undefined || heap.length === 0) return;
      heap[0] = last;
      let parent = 0;
      for (;;) {
        const left = 2 * parent + 1;
        const right = left + 1;
        let smallest = parent;
        if (left < heap.length && before(heap[left], heap[smallest])) smallest = left;
        if (right < heap.length && before(heap[right], heap[smallest])) smallest = right;
        if (smallest === parent) return;
        swap(parent, smallest);
        parent = smallest;
      }
    },
  };
}

/** Creates a virtual clock that reads 0. */
export function createVirtualClock(): VirtualClock {
  const timers = timerHeap();
  let now = 0;
  let suspendedMs = 0;
  let created = 0;
  return {
    now: () => now,
    elapsed: () => now + suspendedMs,
    suspend: (time) => void (suspendedMs += time),
    wallTime: () => new Date(wallClockStartMs + now + suspendedMs).toISOString(),
    after(delay, action) {
      const timer = {
        dueAtMs: now + Math.max(0, delay),
        sequence: created++,
        action,
        cancelled: false,
      };
      timers.push(timer);
      return () => {
        timer.cancelled = true;
      };
    },
    async runUntil(time) {
      await settlePromises();
      for (let next = timers.peek(); next && next.dueAtMs <= time; next = timers.peek()) {
        timers.pop();
        if (next.cancelled) continue;
        now = next.dueAtMs;
        next.action();
        await settlePromises();
      }
      now = time;
    },
  };
}
