/** A task that is run again and again, never twice at once. */
import type { Milliseconds } from "@linkfall/types";
import type { CancelTimer, Clock } from "./clock.js";
import type { Random } from "./random.js";
import type { Service } from "./kernel.js";

/** Share of the interval by which each wait varies, so that boxes do not act in step. */
const jitterRatio = 0.2;

/** Runs `task` every `interval` milliseconds or so, counted from the end of the last run. */
export function repeatEvery(
  clock: Clock,
  random: Random,
  interval: Milliseconds,
  task: () => Promise<void> | void,
): Service {
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  const wait = () => {
    const jitter = 1 + jitterRatio * (random.nextFloat() - 0.5);
    cancel = clock.after(interval * jitter, () => void run());
  };
  const run = async () => {
    await task();
    if (!stopped) wait();
  };
  return {
    start: async () => wait(),
    stop: async () => {
      stopped = true;
      cancel();
    },
  };
}
