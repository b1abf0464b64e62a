/** Watches a settings file: valid changes are applied, invalid ones are logged. */
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
  /** The text that the current settings were read from. */
  readonly text: string;
  readonly intervalMs: Milliseconds;
  /** Parses and validates the text of the file. */
  parse(text: string): Either<InvalidInput, Settings>;
  /** Called with the settings of each valid change. */
  onChange(settings: Settings): void;
}

/** Creates a watch of the file. Invalid and unreadable versions of the file are logged and skipped. */
export function watchSettingsFile<Settings>(
  input: WatchSettingsFileInput<Settings>,
): SettingsWatch {
  const { clock, random, logger, path, text, intervalMs, parse, onChange } = input;
  const logUnusable = (reason: string) => logger.event("settingsUnusable", { reason });
  return createSettingsWatch({
    clock,
    random,
    intervalMs,
    text,
    readText: () => readSettingsFile(path),
    onChange: (changed) =>
      parse(changed).caseOf({
        Left: (invalid) => logUnusable(describeProblems(invalid)),
        Right: onChange,
      }),
    onReadFailure: logUnusable,
  });
}
