#!/usr/bin/env node
/** `linkfalld --settings FILE.ini` */
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { readSettings, type Settings } from "@linkfall/config";
import type { AddressUnavailable, InvalidInput } from "@linkfall/errors";
import type { Logger } from "@linkfall/logger";
import { loggerFor, startDaemon } from "./run-daemon.js";

const usage = `linkfalld: the daemon of a linkfall entry box

usage: linkfalld --settings FILE.ini

SIGTERM and SIGINT begin a planned stop; a second signal stops at once.
The settings are described in docs/SETTINGS.md and checked by: linkfall check-settings FILE.ini
`;

/** Exit codes, as sysexits.h numbers them. */
const exitCodes = { usage: 64, noInput: 66, unavailable: 69, defect: 70, settings: 78 } as const;

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

function settingsFromArguments(): Settings {
  const { values } = parseArgs({
    options: { settings: { type: "string" }, help: { type: "boolean", short: "h" } },
  });
  if (values.help) leave(0, usage);
  if (values.settings === undefined) leave(exitCodes.usage, usage);
  const path = values.settings;
  return readSettings(readFile(path)).caseOf({
    Left: (invalid) => leaveOverSettings(path, invalid),
    Right: (settings) => settings,
  });
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
  const settings = settingsFromArguments();
  const logger = loggerFor(settings);
  const defect = stopOnDefect(logger);
  process.on("uncaughtException", defect);
  process.on("unhandledRejection", defect);
  const started = await startDaemon(settings, logger, defect);
  started.ifLeft((unavailable) => leaveOverAddress(logger, unavailable));
  const daemon = started.unsafeCoerce();

  let stopping = false;
  const stop = () => {
    if (stopping) process.exit(1);
    stopping = true;
    void daemon.drain().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

void main();
