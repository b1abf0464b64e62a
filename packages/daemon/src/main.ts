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

SIGTERM and SIGINT start a planned stop; a second signal exits immediately.
The settings file is polled every second; changes take effect at the next start. SIGHUP checks it immediately.
The settings are documented in docs/SETTINGS.md and validated by: linkfall check-settings FILE.ini
`;

/** Exit codes of sysexits.h. */
const exitCodes = { usage: 64, noInput: 66, unavailable: 69, defect: 70, settings: 78 } as const;

/** Interval between checks of the settings file. */
const settingsPollIntervalMs: Milliseconds = 1_000;

function exitWith(code: number, text: string): never {
  process.stderr.write(text);
  process.exit(code);
}

function readFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (error) {
    exitWith(exitCodes.noInput, `linkfalld: cannot read ${path}: ${String(error)}\n`);
  }
}

function exitOnInvalidSettings(path: string, invalid: InvalidInput): never {
  const lines = invalid.problems.map((problem) => `  ${problem.field}: ${problem.reason}\n`);
  exitWith(exitCodes.settings, `linkfalld: ${path} is invalid\n${lines.join("")}`);
}

/** A settings file and its parsed content. */
interface SettingsFile {
  readonly path: string;
  readonly text: string;
  readonly settings: Settings;
}

function readSettingsFile(): SettingsFile {
  const { values } = parseArgs({
    options: { settings: { type: "string" }, help: { type: "boolean", short: "h" } },
  });
  if (values.help) exitWith(0, usage);
  if (values.settings === undefined) exitWith(exitCodes.usage, usage);
  const path = values.settings;
  const text = readFile(path);
  return readSettings(text).caseOf({
    Left: (invalid) => exitOnInvalidSettings(path, invalid),
    Right: (settings) => ({ path, text, settings }),
  });
}

/** Logs changes of the settings file, which take effect at the next start. */
async function logSettingsChanges({ path, text, settings }: SettingsFile, logger: Logger) {
  const watch = watchSettingsFile({
    clock: systemClock(),
    random: systemRandom(),
    logger,
    path,
    text,
    intervalMs: settingsPollIntervalMs,
    parse: readSettings,
    onChange: (newSettings) =>
      logger.event("settingsChanged", {
        atNextStart: changedKeys(settings, newSettings).join(" "),
      }),
  });
  process.on("SIGHUP", () => {
    logger.event("settingsSignalled");
    watch.checkNow();
  });
  await watch.start();
}

/** Creates a handler that logs a defect and exits: no recovery is attempted after a broken invariant. */
function createDefectHandler(logger: Logger): (problem: unknown) => void {
  return (problem) => {
    const text = problem instanceof Error ? (problem.stack ?? problem.message) : String(problem);
    logger.event("invariantBroken", { problem: text });
    process.exitCode = exitCodes.defect;
    setImmediate(() => process.exit());
  };
}

/** Exits without reporting a defect: an address in use is an error of the deployment. */
function exitOnUnavailableAddress(logger: Logger, { address, reason }: AddressUnavailable): never {
  logger.event("addressUnavailable", { address, reason });
  exitWith(exitCodes.unavailable, `linkfalld: cannot listen on ${address}: ${reason}\n`);
}

async function main(): Promise<void> {
  const file = readSettingsFile();
  const { settings } = file;
  const logger = createDaemonLogger(settings);
  await logSettingsChanges(file, logger);
  const onDefect = createDefectHandler(logger);
  process.on("uncaughtException", onDefect);
  process.on("unhandledRejection", onDefect);
  // Callers can connect before startup has finished, so signals during startup drain the box too.
  const starting = startDaemon(settings, logger, onDefect);
  let stopping = false;
  const onStopSignal = () => {
    if (stopping) process.exit(1);
    stopping = true;
    void starting
      .then((started) => started.map((daemon) => daemon.drain()).orDefault(Promise.resolve()))
      .then(() => process.exit(0));
  };
  process.on("SIGTERM", onStopSignal);
  process.on("SIGINT", onStopSignal);
  const started = await starting;
  started.ifLeft((unavailable) => exitOnUnavailableAddress(logger, unavailable));
}

void main();
