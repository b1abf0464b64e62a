#!/usr/bin/env node
/** `linkfalld --settings FILE.ini` */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { readSettings, type Settings } from "@linkfall/config";
import type { AddressUnavailable, InvalidInput } from "@linkfall/errors";
import { systemClock, systemRandom } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import { changedKeys, watchSettingsFile } from "@linkfall/settings-watch";
import type { Milliseconds } from "@linkfall/types";
import { createDaemonLogger, startDaemon } from "./run-daemon.js";

const usage = `linkfalld: the daemon of a linkfall entry box

usage: linkfalld --settings FILE.ini

SIGTERM and SIGINT begin a planned stop; a second signal stops at once.
The settings file is looked at every second; a change holds from the next start on. SIGHUP asks for a look at once.
The settings are described in docs/SETTINGS.md and checked by: linkfall check-settings FILE.ini
`;

/** Exit codes, as sysexits.h numbers them. */
const exitCodes = { usage: 64, noInput: 66, unavailable: 69, defect: 70, settings: 78 } as const;

/** The settings file is looked at this often. */
const settingsCheckMs: Milliseconds = 1_000;

function leave(code: number, text: string): never {
  process.stderr.write(text);
  process.exit(code);
}

function readFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (problem) {
    leave(exitCodes.noInput, `linkfalld: cannot read ${path}: ${String(problem)}\n`);
  }
}

function leaveOverSettings(path: string, invalid: InvalidInput): never {
  const lines = invalid.problems.map((problem) => `  ${problem.field}: ${problem.reason}\n`);
  leave(exitCodes.settings, `linkfalld: ${path} is not valid\n${lines.join("")}`);
}

/** Settings with the file that they were read from. */
interface SettingsFile {
  readonly path: string;
  readonly text: string;
  readonly settings: Settings;
}

function settingsFromArguments(): SettingsFile {
  const { values } = parseArgs({
    options: { settings: { type: "string" }, help: { type: "boolean", short: "h" } },
  });
  if (values.help) leave(0, usage);
  if (values.settings === undefined) leave(exitCodes.usage, usage);
  const path = values.settings;
  const text = readFile(path);
  return readSettings(text).caseOf({
    Left: (invalid) => leaveOverSettings(path, invalid),
    Right: (settings) => ({ path, text, settings }),
  });
}

/** Tells operators which changes of the settings file wait for the next start. */
async function tellOfChanges({ path, text, settings }: SettingsFile, logger: Logger) {
  const watch = watchSettingsFile({
    clock: systemClock(),
    random: systemRandom(),
    logger,
    path,
    text,
    intervalMs: settingsCheckMs,
    parse: readSettings,
    onChange: (read) =>
      logger.event("settingsChanged", { atNextStart: changedKeys(settings, read).join(" ") }),
  });
  process.on("SIGHUP", () => {
    logger.event("settingsSignalled");
    watch.checkNow();
  });
  await watch.start();
}

/** A defect is logged and stops the process; nothing is repaired after a broken invariant. */
function stopOnDefect(logger: Logger): (problem: unknown) => void {
  return (problem) => {
    const text = problem instanceof Error ? (problem.stack ?? problem.message) : String(problem);
    logger.event("invariantBroken", { problem: text });
    process.exitCode = exitCodes.defect;
    setImmediate(() => process.exit());
  };
}

/** Another process has the address: a fault of the deployment, not of this program. */
function leaveOverAddress(logger: Logger, { address, reason }: AddressUnavailable): never {
  logger.event("addressUnavailable", { address, reason });
  leave(exitCodes.unavailable, `linkfalld: cannot listen on ${address}: ${reason}\n`);
}

async function main(): Promise<void> {
  const file = settingsFromArguments();
  const { settings } = file;
  const logger = createDaemonLogger(settings);
  await tellOfChanges(file, logger);
  const defect = stopOnDefect(logger);
  process.on("uncaughtException", defect);
  process.on("unhandledRejection", defect);
  // Callers can connect before the start is done: a stop that comes meanwhile is a planned one as well.
  const starting = startDaemon(settings, logger, defect);
  let stopping = false;
  const stop = () => {
    if (stopping) process.exit(1);
    stopping = true;
    void starting
      .then((started) => started.map((daemon) => daemon.drain()).orDefault(Promise.resolve()))
      .then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  const started = await starting;
  started.ifLeft((unavailable) => leaveOverAddress(logger, unavailable));
}

void main();
