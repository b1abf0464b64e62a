/** Runs a task periodically, without overlapping runs. */
import type { Milliseconds } from "@linkfall/types";
import type { CancelTimer, Clock } from "./clock.js";
import type { Random } from "./random.js";
import type { Service } from "./kernel.js";

/** Fraction of the interval by which delays vary, which keeps boxes from running in lockstep. */
const jitterRatio = 0.2;

/** Runs `task` with a jittered delay of about `intervalMs` between the end of one run and the start of the next. */
export function repeatEvery(
  clock: Clock,
  random: Random,
  intervalMs: Milliseconds,
  task: () => Promise<void> | void,
): Service {
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  const schedule = () => {
    const jitter = 1 + jitterRatio * (random.nextFloat() - 0.5);
    cancel = clock.after(intervalMs * jitter, () => void run());
  };
  const run = async () => {
    await task();
    if (!stopped) schedule();
  };
  return {
    start: async () => schedule(),
    stop: async () => {
      stopped = true;
      cancel();
    },
  };
}
