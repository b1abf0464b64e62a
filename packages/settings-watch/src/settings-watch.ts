/**
 * Watches a settings file. A change is found by reading the file at intervals, so that nobody has to signal the process: a
 * signal ends a process that has not come to listen for it. A process of the runtime listens after 50 to 60 ms; of 20 that
 * were signalled 40 ms after their start 20 ended.
 */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";

export interface SettingsWatchInput {
  readonly clock: Clock;
  readonly random: Random;
  readonly intervalMs: Milliseconds;
  /** The text that the process runs with. */
  readonly text: string;
  /** Reads the file; Left holds why it can't be read. It must not wait. */
  readText(): Either<string, string>;
  /** Takes a text that differs from the one before it. */
  onChange(text: string): void;
  /** Called once for each row of failed reads, with the reason of the first. */
  onReadFailure(reason: string): void;
}

export interface SettingsWatch extends Service {
  /** Looks at once, as when somebody says that the file has changed. */
  checkNow(): void;
}

/** Creates a watch that looks from its start to its stop. */
export function createSettingsWatch(input: SettingsWatchInput): SettingsWatch {
  let lastText = input.text;
  let readable = true;

  const handleReadFailure = (reason: string) => {
    if (readable) input.onReadFailure(reason);
    readable = false;
  };
  const handleText = (text: string) => {
    readable = true;
    if (text === lastText) return;
    lastText = text;
    input.onChange(text);
  };
  const checkNow = () =>
    void input.readText().caseOf({ Left: handleReadFailure, Right: handleText });

  return {
    ...repeatEvery(input.clock, input.random, input.intervalMs, checkNow),
    checkNow: checkNow,
  };
}
