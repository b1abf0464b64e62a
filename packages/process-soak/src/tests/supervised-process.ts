/** A real process that is started again whenever it ends, as the platform does it. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

export interface ProcessOptions {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  /** Takes standard output and standard error of all its lives. */
  readonly logFile: string;
  /** Time from an end to the next start. */
  readonly restartDelayMs: number;
}

export interface SupervisedProcess {
  readonly name: string;
  /** Counts starts; 1 during the first. */
  incarnation(): number;
  running(): boolean;
  /** Sends a signal to the process of now, if there is one. */
  signal(signal: NodeJS.Signals): void;
  /** Ends of its own that no signal explains: exit codes, in order. */
  unexpectedExitCodes(): readonly number[];
  /** Ends the process for good. */
  stop(): Promise<void>;
}

/** Signals after which an end is no wonder. */
const terminatingSignals: ReadonlySet<NodeJS.Signals> = new Set(["SIGTERM", "SIGKILL"]);

/** Starts the process. */
export function superviseProcess(options: ProcessOptions): SupervisedProcess {
  const unexpectedExitCodes: number[] = [];
  let incarnation = 0;
  let stopped = false;
  let exitExpected = false;
  let child: ChildProcess | undefined;
  let restartTimer: NodeJS.Timeout | undefined;

  const start = () => {
    incarnation += 1;
    exitExpected = false;
    const log = openSync(options.logFile, "a");
    child = spawn(options.command, options.args, {
      env: { PATH: process.env.PATH, ...options.env },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    child.once("exit", (code) => {
      child = undefined;
      if (!exitExpected) unexpectedExitCodes.push(code ?? -1);
      if (!stopped) restartTimer = setTimeout(start, options.restartDelayMs);
    });
  };
  start();

  return {
    name: options.name,
    incarnation: () => incarnation,
    running: () => child !== undefined,
    signal(signal) {
      if (terminatingSignals.has(signal)) exitExpected = true;
      child?.kill(signal);
    },
    unexpectedExitCodes: () => unexpectedExitCodes,
    async stop() {
      stopped = true;
      clearTimeout(restartTimer);
      const lastChild = child;
      if (!lastChild) return;
      exitExpected = true;
      const exited = new Promise<void>((resolve) => {
        lastChild.once("exit", () => resolve());
      });
      lastChild.kill("SIGCONT");
      lastChild.kill("SIGKILL");
      await exited;
    },
  };
}
