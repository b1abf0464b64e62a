/** A process that can be paused, continued and killed under virtual time. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";

export interface GatedProcess {
  /** The clock as the process sees it: it moves on while the process is paused. */
  readonly clock: Clock;
  readonly state: () => "running" | "paused" | "dead";
  pause(): void;
  resume(): void;
  kill(): void;
  /** Hands a result to the process once it runs; never when it is dead. */
  gate<T>(result: Promise<T>): Promise<T>;
  gateBody(body: AsyncIterable<BodyPart>): AsyncIterable<BodyPart>;
}

/** Creates a running process on the given clock. */
export function createGatedProcess(world: Clock): GatedProcess {
  let state: "running" | "paused" | "dead" = "running";
  let waiting: (() => void)[] = [];
  const deliver = (action: () => void) => {
    if (state === "running") action();
    else if (state === "paused") waiting.push(action);
  };
  const gate = <T>(result: Promise<T>) =>
    new Promise<T>((resolve, reject) => {
      result.then(
        (value) => deliver(() => resolve(value)),
        (problem) => deliver(() => reject(problem)),
      );
    });
  return {
    clock: {
      now: world.now,
      elapsed: world.elapsed,
      wallTime: world.wallTime,
      after: (delay, action) => world.after(delay, () => deliver(action)),
    },
    state: () => state,
    pause() {
      if (state === "running") state = "paused";
    },
    resume() {
      if (state !== "paused") return;
      state = "running";
      for (const action of waiting.splice(0)) action();
    },
    kill() {
      state = "dead";
      waiting = [];
    },
    gate,
    async *gateBody(body) {
      const parts = body[Symbol.asyncIterator]();
      try {
        for (;;) {
          const read = await gate(parts.next());
          if (read.done) return;
          yield read.value;
        }
      } finally {
        void parts.return?.();
      }
    },
  };
}
