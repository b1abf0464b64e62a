/** Answers and bodies of processes that may die, and of readers that may go. */
import type { VirtualClock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { Left } from "purify-ts";
import type { GatedProcess } from "./gated-process.js";
import { targetLost } from "./network.js";

const deathCheckMs: Milliseconds = 50;

/** The result, or undefined once the process that should give it is dead. */
export function raceDeath<T>(clock: VirtualClock, process: GatedProcess, result: Promise<T>) {
  return new Promise<T | undefined>((resolve, reject) => {
    let settled = false;
    const check = () => {
      if (settled) return;
      if (process.state() === "dead") resolve(undefined);
      else clock.after(deathCheckMs, check);
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
export async function* untilDead(
  clock: VirtualClock,
  process: GatedProcess,
  body: AsyncIterable<BodyPart>,
) {
  const parts = body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const read = await raceDeath(clock, process, process.gate(parts.next()));
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
export async function* untilAborted(body: AsyncIterable<BodyPart>, signal: AbortSignal) {
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
