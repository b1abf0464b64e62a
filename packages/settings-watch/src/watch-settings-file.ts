/** Follows a settings file: what can be used is taken, what can't be is logged. */
import { describeProblems, type InvalidInput } from "@linkfall/errors";
import type { Clock, Random } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";
import { readSettingsFile } from "./read-settings-file.js";
import { createSettingsWatch, type SettingsWatch } from "./settings-watch.js";

export interface WatchSettingsFileInput<Settings> {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly path: string;
  /** The text that the process runs with. */
  readonly text: string;
  readonly intervalMs: Milliseconds;
  /** Checks a text. */
  parse(text: string): Either<InvalidInput, Settings>;
  /** Takes settings that were read while the process runs. */
  onChange(settings: Settings): void;
}

/** Creates a watch of the file; the process keeps what it has while the file has problems. */
export function watchSettingsFile<Settings>(input: WatchSettingsFileInput<Settings>): SettingsWatch {
  const { clock, random, logger, path, text, intervalMs, parse: check, onChange: take } = input;
  const logUnusable = (reason: string) => logger.event("settingsUnusable", { reason });
  return createSettingsWatch({
    clock,
    random,
    intervalMs,
    text,
    readText: () => readSettingsFile(path),
    onChange: (changed) =>
      check(changed).caseOf({
        Left: (invalid) => logUnusable(describeProblems(invalid)),
        Right: take,
      }),
    onReadFailure: logUnusable,
  });
}
