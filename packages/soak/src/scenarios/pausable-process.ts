/** A simulated process that can be paused, resumed and killed. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";

/** State of a simulated process and the delivery of results to it. */
export interface PausableProcess {
  /** Clock of the process. Time advances during a pause; timers fire after it. */
  readonly clock: Clock;
  readonly state: () => "running" | "paused" | "dead";
  pause(): void;
  resume(): void;
  kill(): void;
  /** Resolves with a result once the process is running; never settles if it is dead. */
  deliver<T>(result: Promise<T>): Promise<T>;
  /** Delivers each part of a body like a result. */
  deliverBody(body: AsyncIterable<BodyPart>): AsyncIterable<BodyPart>;
}

/** Creates a running process. */
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
        (error) => runWhenRunning(() => reject(error)),
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
    deliver,
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
