/**
 * `npm run bench:box`: processor time and memory of box processes, idle and per relayed token, read
 * from /proc.
 */
import { readFileSync } from "node:fs";
import { createOperatorClient } from "@linkfall/operator-client";
import {
  DeploymentProcesses,
  type EngineSpec,
  hashToken,
  operatorToken,
  type RunningBox,
  waitUntil,
} from "@linkfall/stand-ins";
import type { Resource } from "@linkfall/types";

/** Linux clock ticks, the unit of processor times in /proc. */
const ticksPerSecond = 100;
const idleSeconds = 20;
const loadSeconds = 15;
const token = "token";
const boxCount = 8;
const engineCount = 13;
const modelCount = 40;

/** User and system time of a process in seconds. */
function cpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function residentMemoryMb(pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
  return Number(line?.[1] ?? 0) / 1_024;
}

const sleepSeconds = (count: number) =>
  new Promise((resolve) => setTimeout(resolve, count * 1_000));
const pidOf = (box: RunningBox) => box.child.pid ?? 0;
const mean = (list: readonly number[]) => list.reduce((sum, each) => sum + each, 0) / list.length;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function createEngineShape(index: number): EngineSpec {
  return {
    name: `e${index}`,
    pool: "p",
    domain: `d${index % 4}`,
    acceleratorsMb: [100, 100],
    batchReserveMb: 0,
    role: "mixed",
    fenced: true,
    concurrency: 64,
    leaving: false,
  };
}

function createResources(engines: readonly Resource[]): readonly Resource[] {
  const account: Resource = {
    kind: "account",
    name: "one",
    tokenHash: hashToken(token),
    share: 1,
    requestsPerSecond: 100_000,
    maxPriority: 9,
  };
  const models = Array.from({ length: modelCount }, (_, index): Resource => ({
    kind: "model",
    name: `m${index}`,
    pool: "p",
    version: "1",
    sizeMb: 10,
    accounts: ["one"],
    priority: 5,
    minReplicas: 1,
  }));
  const pool: Resource = { kind: "pool", name: "p", loadsPerSecond: 2, loadsAtOnce: 8 };
  return [account, pool, ...engines, ...models];
}

async function startDeployment(deployment: DeploymentProcesses): Promise<void> {
  await deployment.startPlatform();
  const engines: Resource[] = [];
  for (let index = 0; index < engineCount; index++)
    engines.push(await deployment.startEngine(createEngineShape(index)));
  for (let index = 0; index < boxCount; index++) {
    const extra = { callers: { max_in_flight: 5_000 }, log: { level: "warn" } };
    await deployment.startBox(`box-${index}`, `d${index % 4}`, extra);
  }
  await Promise.all(deployment.boxes.map((box) => deployment.waitUntilReady(box)));
  const url = `http://${deployment.boxes[0].operatorAddress}`;
  const operator = createOperatorClient({ url, token: operatorToken });
  const changes = createResources(engines).map(
    (resource) => ({ action: "put", resource, base: 0 }) as const,
  );
  await operator.write(changes);
  const allModelsReady = async () => {
    const status = await operator.status();
    return status.map(({ models }) => models.every((model) => model.ready > 0)).orDefault(false);
  };
  await waitUntil(
    allModelsReady,
    () => "timed out waiting for all models to become ready",
    120_000,
  );
}

/** Sends streaming requests through a box for `loadSeconds` and returns the number of tokens received. */
async function sendStreams(box: RunningBox, concurrency: number): Promise<number> {
  const end = performance.now() + loadSeconds * 1_000;
  let tokens = 0;
  const runCaller = async (number: number) => {
    for (let turn = 0; performance.now() < end; turn++) {
      const response = await fetch(`http://${box.callerAddress}/v1/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${token}` },
        body: JSON.stringify({
          model: `m${number % modelCount}`,
          prompt: `${number} ${turn}`,
          max_tokens: 200,
          stream: true,
        }),
      });
      const text = await response.text();
      if (response.status !== 200) throw new Error(text);
      tokens += text.split("\n\n").length - 2;
    }
  };
  await Promise.all(Array.from({ length: concurrency }, (_, number) => runCaller(number)));
  return tokens;
}

const deployment = new DeploymentProcesses();
try {
  await startDeployment(deployment);
  const pids = deployment.boxes.map(pidOf);
  const before = pids.map(cpuSeconds);
  await sleepSeconds(idleSeconds);
  const idleCpuPercents = pids.map(
    (pid, index) => ((cpuSeconds(pid) - before[index]) * 100) / idleSeconds,
  );
  printLine(
    `idle, ${boxCount} boxes, ${engineCount} engines, ${modelCount} models: ${mean(idleCpuPercents).toFixed(2)} % of a core (max ${Math.max(...idleCpuPercents).toFixed(2)}), ${mean(pids.map(residentMemoryMb)).toFixed(0)} MB resident`,
  );
  const [box] = deployment.boxes;
  for (const concurrentStreams of [20, 80]) {
    const start = cpuSeconds(pidOf(box));
    const tokens = await sendStreams(box, concurrentStreams);
    const used = cpuSeconds(pidOf(box)) - start;
    printLine(
      `${concurrentStreams} concurrent streams: ${(tokens / loadSeconds).toFixed(0)} tokens/s, ${((used * 100) / loadSeconds).toFixed(1)} % of a core, ${((used * 1e6) / tokens).toFixed(1)} us per token, ${residentMemoryMb(pidOf(box)).toFixed(0)} MB resident`,
    );
  }
} finally {
  await deployment.stop();
}
