/**
 * Polls a settings file for changes. Polling works at any time, while a signal terminates a process
 * that has not installed its signal handler yet.
 */
import { type Clock, type Random, repeatEvery, type Service } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";

export interface SettingsWatchInput {
  readonly clock: Clock;
  readonly random: Random;
  readonly intervalMs: Milliseconds;
  /** The text that the current settings were read from. */
  readonly text: string;
  /** Reads the file without blocking; a Left holds the reason why it cannot be read. */
  readText(): Either<string, string>;
  /** Called with a text that differs from the previous one. */
  onChange(text: string): void;
  /** Called once for a sequence of failed reads, with the reason of the first. */
  onReadFailure(reason: string): void;
}

export interface SettingsWatch extends Service {
  /** Reads the file immediately. */
  checkNow(): void;
}

/** Creates a watch that polls the file while it is started. */
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
    checkNow,
  };
}
