/** Answers and bodies of processes that may die, and of readers that may go. */
import type { VirtualClock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { Left } from "purify-ts";
import type { PausableProcess } from "./pausable-process.js";
import { targetLost } from "./network.js";

const killPollMs: Milliseconds = 50;

/** The result, or undefined once the process that should give it is dead. */
export function resolveUnlessKilled<T>(clock: VirtualClock, process: PausableProcess, result: Promise<T>) {
  return new Promise<T | undefined>((resolve, reject) => {
    let settled = false;
    const check = () => {
      if (settled) return;
      if (process.state() === "dead") resolve(undefined);
      else clock.after(killPollMs, check);
    };
    check();
    result.then(
      (value) => {
        settled = true;
        resolve(value);
      },
      (problem) => {
        settled = true;
        reject(problem);
      },
    );
  });
}

/** A body that breaks off when the process that gives it dies. */
export async function* bodyUntilKilled(
  clock: VirtualClock,
  process: PausableProcess,
  body: AsyncIterable<BodyPart>,
) {
  const parts = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const read = await resolveUnlessKilled(clock, process, process.deliver(parts.next()));
      if (read === undefined) {
        yield Left(targetLost(true));
        return;
      }
      if (read.done) return;
      yield read.value;
    }
  } finally {
    void parts.return?.(undefined);
  }
}

/** A body that ends like a cut one when its reader gives it up. */
export async function* bodyUntilAborted(body: AsyncIterable<BodyPart>, signal: AbortSignal) {
  const parts = body[Symbol.asyncIterator]();
  const aborted = new Promise<undefined>((resolve) => {
    if (signal.aborted) resolve(undefined);
    signal.addEventListener("abort", () => resolve(undefined), { once: true });
  });
  try {
    for (;;) {
      const read = await Promise.race([parts.next(), aborted]);
      if (read === undefined) {
        yield Left(targetLost(true));
        return;
      }
      if (read.done) return;
      yield read.value;
    }
  } finally {
    void parts.return?.();
  }
}
