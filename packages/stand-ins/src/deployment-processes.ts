/** A whole small deployment as processes on loopback: stand-ins, then boxes. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { createHash } from "node:crypto";
import type { Engine } from "@linkfall/types";
import { stringify } from "ini";
import { freeAddresses, loopbackHost } from "./free-addresses.js";

/** Kinds of line that a stand-in prints. */
export interface StandInOutput {
  readonly address?: string;
  readonly violation?: string;
  readonly ran?: string;
  readonly body?: string;
  readonly prompt?: string;
}

export interface RunningProcess {
  readonly child: ChildProcess;
  /** Lines that a stand-in has printed. */
  readonly lines: StandInOutput[];
  /** Text on standard error. */
  stderrText(): string;
  exited: Promise<number | null>;
}

export interface RunningStandIn extends RunningProcess {
  readonly address: string;
}

export interface RunningBox extends RunningProcess {
  readonly name: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly settingsFile: string;
}

/** An engine as a deployment is asked for it; its address is known once it runs. */
export type EngineSpec = Omit<Engine, "address" | "kind">;

const standInEntryPoint = fileURLToPath(new URL("./main.js", import.meta.url));
const daemonEntryPoint = fileURLToPath(import.meta.resolve("@linkfall/daemon")).replace(
  /index\.js$/,
  "main.js",
);

/** Token of the operator that every box of such a deployment knows. */
export const operatorToken = "operator-of-the-demo";

export function hashToken(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

function captureOutput(child: ChildProcess): RunningProcess {
  const lines: StandInOutput[] = [];
  let stderrText = "";
  let partialLine = "";
  child.stdout?.setEncoding("utf8").on("data", (chunk: string) => {
    const parts = (partialLine + chunk).split("\n");
    partialLine = parts.pop() ?? "";
    for (const line of parts) lines.push(JSON.parse(line) as StandInOutput);
  });
  child.stderr?.setEncoding("utf8").on("data", (chunk: string) => {
    stderrText += chunk;
  });
  const exited = new Promise<number | null>((resolve) => child.once("exit", resolve));
  return { child, lines, stderrText: () => stderrText, exited };
}

/** Waits until `test` holds; fails after `limitMs` with what `describe` says. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  describe: () => string,
  timeoutMs = 30_000,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`gave up waiting: ${describe()}`);
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
}

/** A deployment whose processes end together. */
export class DeploymentProcesses {
  readonly boxes: RunningBox[] = [];
  readonly standIns: RunningStandIn[] = [];
  readonly engines = new Map<string, RunningStandIn>();
  logAddress = "";
  listAddress = "";
  weightsAddress = "";
  private readonly directory = mkdtempSync(join(tmpdir(), "linkfall-"));

  async startStandIn(
    kind: string,
    json = "",
    address = `${loopbackHost}:0`,
  ): Promise<RunningStandIn> {
    const child = spawn(process.execPath, [standInEntryPoint, kind, address, json], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const running = captureOutput(child);
    const addressLine = () => running.lines.find((line) => line.address !== undefined);
    await waitUntil(
      () => addressLine() !== undefined,
      () => `${kind}: ${running.stderrText()}`,
    );
    const standIn = { ...running, address: addressLine()?.address ?? "" };
    this.standIns.push(standIn);
    return standIn;
  }

  async startPlatform(): Promise<void> {
    const started = ["log", "list", "weights"].map((kind) => this.startStandIn(kind));
    const [log, list, weights] = await Promise.all(started);
    this.logAddress = log.address;
    this.listAddress = list.address;
    this.weightsAddress = weights.address;
  }

  async startEngine(spec: EngineSpec, address?: string): Promise<Engine> {
    const engine = { kind: "engine" as const, ...spec, address: "" };
    const json = JSON.stringify({ engine, weightStore: this.weightsAddress });
    const running = await this.startStandIn("engine", json, address);
    this.engines.set(spec.name, running);
    return { ...engine, address: running.address };
  }

  /** Starts a box; `extra` adds sections and keys to its settings. */
  async startBox(
    name: string,
    domain: string,
    extraSettings: Record<string, Record<string, string | number>> = {},
  ): Promise<RunningBox> {
    const [callerAddress, operatorAddress, peerAddress] = await freeAddresses(3);
    const settings = {
      box: {
        name,
        domain,
        caller_address: callerAddress,
        operator_address: operatorAddress,
        peer_address: peerAddress,
      },
      platform: { log_url: `http://${this.logAddress}`, list_url: `http://${this.listAddress}` },
      operators: { tokens: `operator:${hashToken(operatorToken)}` },
      ...extraSettings,
    };
    const settingsFile = join(this.directory, `${name}-${this.boxes.length}.ini`);
    writeFileSync(settingsFile, stringify(settings));
    const child = spawn(process.execPath, [daemonEntryPoint, "--settings", settingsFile], {
      stdio: ["ignore", "ignore", "pipe"],
    });
    const box = { ...captureOutput(child), name, callerAddress, operatorAddress, settingsFile };
    this.boxes.push(box);
    await this.post(this.listAddress, "/boxes", { box: name, peerAddress, state: "live" });
    return box;
  }

  /** Waits until a box answers that it is ready. */
  async waitUntilReady(box: RunningBox): Promise<void> {
    const ready = async () => {
      try {
        return (await fetch(`http://${box.operatorAddress}/health/ready`)).ok;
      } catch {
        return false;
      }
    };
    await waitUntil(ready, () => `${box.name}: ${box.stderrText().slice(-2_000)}`);
  }

  async post(address: string, path: string, body: unknown): Promise<void> {
    await fetch(`http://${address}${path}`, { method: "POST", body: JSON.stringify(body) });
  }

  /** What the stand-ins have seen that must not happen. */
  violations(): readonly string[] {
    return this.standIns.flatMap((standIn) =>
      standIn.lines.flatMap((line) => (line.violation === undefined ? [] : [line.violation])),
    );
  }

  /** Ends every process of the deployment. */
  async stop(): Promise<void> {
    const all = [...this.boxes, ...this.standIns];
    for (const { child } of all) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await Promise.all(
      all.map(({ child, exited }) =>
        child.exitCode === null && child.signalCode === null ? exited : 0,
      ),
    );
    rmSync(this.directory, { recursive: true, force: true });
  }
}
