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
  changed(text: string): void;
  /** Called once for each row of failed reads, with the reason of the first. */
  unreadable(reason: string): void;
}

export interface SettingsWatch extends Service {
  /** Looks at once, as when somebody says that the file has changed. */
  look(): void;
}

/** Creates a watch that looks from its start to its stop. */
export function createSettingsWatch(input: SettingsWatchInput): SettingsWatch {
  let known = input.text;
  let readable = true;

  const fail = (reason: string) => {
    if (readable) input.unreadable(reason);
    readable = false;
  };
  const take = (text: string) => {
    readable = true;
    if (text === known) return;
    known = text;
    input.changed(text);
  };
  const look = () => void input.readText().caseOf({ Left: fail, Right: take });

  return { ...repeatEvery(input.clock, input.random, input.intervalMs, look), look };
}
