/** A child process that is restarted whenever it exits, as the platform does. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

/** Command and restart settings of a supervised process. */
export interface ProcessOptions {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  /** Standard output and standard error of all incarnations are appended to this file. */
  readonly logFile: string;
  /** Delay between an exit and the next start. */
  readonly restartDelayMs: number;
}

/** What happened to a process: a signal of the supervisor, or its end. */
export interface ProcessEvent {
  readonly kind: NodeJS.Signals | "ended";
  readonly incarnation: number;
  /** By this process's monotonic clock, in milliseconds. */
  readonly at: number;
}

/** A process under supervision. */
export interface SupervisedProcess {
  readonly name: string;
  /** Number of starts, from 1. */
  incarnation(): number;
  running(): boolean;
  /** Id of the current process; undefined while none is running. */
  processId(): number | undefined;
  /** Sends a signal to the current process, if one is running. */
  signal(signal: NodeJS.Signals): void;
  /** Exit codes of exits that no signal of the supervisor caused, in order; -1 without a code. */
  unexpectedExitCodes(): readonly number[];
  /** Signals that reached a running process, and ends, in order. */
  history(): readonly ProcessEvent[];
  /** Kills the process and does not restart it. */
  stop(): Promise<void>;
}

/** Signals that are expected to end the process. */
const terminatingSignals: ReadonlySet<NodeJS.Signals> = new Set(["SIGTERM", "SIGKILL"]);

/** Starts a process and keeps it running until it is stopped. */
export function superviseProcess(options: ProcessOptions): SupervisedProcess {
  const unexpectedExitCodes: number[] = [];
  const history: ProcessEvent[] = [];
  let incarnation = 0;
  let stopped = false;
  let exitExpected = false;
  let child: ChildProcess | undefined;
  let restartTimer: NodeJS.Timeout | undefined;

  const record = (kind: ProcessEvent["kind"]) =>
    void history.push({ kind, incarnation, at: performance.now() });
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
      record("ended");
      if (!exitExpected) unexpectedExitCodes.push(code ?? -1);
      if (!stopped) restartTimer = setTimeout(start, options.restartDelayMs);
    });
  };
  start();

  return {
    name: options.name,
    incarnation: () => incarnation,
    running: () => child !== undefined,
    processId: () => child?.pid,
    signal(signal) {
      if (terminatingSignals.has(signal)) exitExpected = true;
      if (child) record(signal);
      child?.kill(signal);
    },
    unexpectedExitCodes: () => unexpectedExitCodes,
    history: () => history,
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
