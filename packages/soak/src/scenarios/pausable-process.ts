/** A process that can be paused, continued and killed under virtual time. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";

export interface PausableProcess {
  /** The clock as the process sees it: it moves on while the process is paused. */
  readonly clock: Clock;
  readonly state: () => "running" | "paused" | "dead";
  pause(): void;
  resume(): void;
  kill(): void;
  /** Hands a result to the process once it runs; never when it is dead. */
  deliver<T>(result: Promise<T>): Promise<T>;
  deliverBody(body: AsyncIterable<BodyPart>): AsyncIterable<BodyPart>;
}

/** Creates a running process on the given clock. */
export function createPausableProcess(clock: Clock): PausableProcess {
  let state: "running" | "paused" | "dead" = "running";
  let pendingActions: (() => void)[] = [];
  const runWhenRunning = (action: () => void) => {
    if (state === "running") action();
    else if (state === "paused") pendingActions.push(action);
  };
  const deliver = <T>(result: Promise<T>) =>
    new Promise<T>((resolve, reject) => {
      result.then(
        (value) => runWhenRunning(() => resolve(value)),
        (problem) => runWhenRunning(() => reject(problem)),
      );
    });
  return {
    clock: {
      now: clock.now,
      elapsed: clock.elapsed,
      wallTime: clock.wallTime,
      after: (delay, action) => clock.after(delay, () => runWhenRunning(action)),
    },
    state: () => state,
    pause() {
      if (state === "running") state = "paused";
    },
    resume() {
      if (state !== "paused") return;
      state = "running";
      for (const action of pendingActions.splice(0)) action();
    },
    kill() {
      state = "dead";
      pendingActions = [];
    },
    deliver: deliver,
    async *deliverBody(body) {
      const parts = body[Symbol.asyncIterator]();
      try {
        for (;;) {
          const read = await deliver(parts.next());
          if (read.done) return;
          yield read.value;
        }
      } finally {
        void parts.return?.();
      }
    },
  };
}
