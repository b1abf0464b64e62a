/** A real process that is started again whenever it ends, as the platform does it. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";

export interface ProcessInput {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  /** Takes standard output and standard error of all its lives. */
  readonly logFile: string;
  /** Time from an end to the next start. */
  readonly restartMs: number;
}

export interface SupervisedProcess {
  readonly name: string;
  /** Counts starts; 1 during the first. */
  life(): number;
  running(): boolean;
  /** Sends a signal to the process of now, if there is one. */
  signal(signal: NodeJS.Signals): void;
  /** Ends of its own that no signal explains: exit codes, in order. */
  ownEnds(): readonly number[];
  /** Ends the process for good. */
  end(): Promise<void>;
}

/** Signals after which an end is no wonder. */
const endingSignals: ReadonlySet<NodeJS.Signals> = new Set(["SIGTERM", "SIGKILL"]);

/** Starts the process. */
export function superviseProcess(input: ProcessInput): SupervisedProcess {
  const ownEnds: number[] = [];
  let life = 0;
  let ended = false;
  let asked = false;
  let child: ChildProcess | undefined;
  let restart: NodeJS.Timeout | undefined;

  const start = () => {
    life += 1;
    asked = false;
    const log = openSync(input.logFile, "a");
    child = spawn(input.command, input.args, {
      env: { PATH: process.env.PATH, ...input.env },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    child.once("exit", (code) => {
      child = undefined;
      if (!asked) ownEnds.push(code ?? -1);
      if (!ended) restart = setTimeout(start, input.restartMs);
    });
  };
  start();

  return {
    name: input.name,
    life: () => life,
    running: () => child !== undefined,
    signal(signal) {
      if (endingSignals.has(signal)) asked = true;
      child?.kill(signal);
    },
    ownEnds: () => ownEnds,
    async end() {
      ended = true;
      clearTimeout(restart);
      const last = child;
      if (!last) return;
      asked = true;
      const gone = new Promise<void>((resolve) => {
        last.once("exit", () => resolve());
      });
      last.kill("SIGCONT");
      last.kill("SIGKILL");
      await gone;
    },
  };
}
