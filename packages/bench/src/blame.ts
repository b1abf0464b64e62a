/** `npm run bench:blame`: what it costs boxes to find a part of prompts that crashes targets. */
import { createCrashBlame, sharedTrait } from "@linkfall/crash-blame";
import { createVirtualClock } from "@linkfall/kernel";
import { runBlame } from "./blame-run.js";

const seeds = [1, 2, 3, 4, 5];
/** Boxes, targets and the time between two heartbeats of deployments of three sizes. */
const sizes = [
  { boxes: 8, targets: 13, roundMs: 400, isFullMesh: true },
  { boxes: 60, targets: 100, roundMs: 400, isFullMesh: false },
  { boxes: 430, targets: 700, roundMs: 1_700, isFullMesh: false },
];
const rates = [2, 8];
const printLine = (text: string) => void process.stdout.write(`${text}\n`);
const median = (values: readonly number[]) =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];

async function compareSizes(): Promise<void> {
  printLine(
    "| boxes | such requests/s | passed on | crashes, median / worst | innocent parts | refused everywhere after, ms, median / worst | bytes a crash and box |",
  );
  printLine("| --- | --- | --- | --- | --- | --- | --- |");
  for (const size of sizes) {
    for (const crashingPerSecond of rates) {
      for (const passesOnAtOnce of size.isFullMesh ? [false] : [false, true]) {
        const results = [];
        for (const seed of seeds)
          results.push(await runBlame({ ...size, crashingPerSecond, passesOnAtOnce }, seed));
        const crashes = results.map((result) => result.crashes);
        const times = results.map(({ refusedAfterMs }) => refusedAfterMs);
        const bytes = results.map(({ bytesPerCrash }) => bytesPerCrash);
        const cells = [
          size.boxes,
          crashingPerSecond,
          size.isFullMesh ? "to all" : passesOnAtOnce ? "at once" : "with the next round",
          `${median(crashes)} / ${Math.max(...crashes)}`,
          results.reduce((sum, { innocentParts }) => sum + innocentParts, 0),
          `${median(times)} / ${Math.max(...times)}`,
          median(bytes).toFixed(0),
        ];
        printLine(`| ${cells.join(" | ")} |`);
      }
    }
  }
}

const crashCount = 300;
const requestsPerCrash = 15;
const thirdParts = 4_000;
const choices = 20_000;

/** Memory of a box that remembers as many crashes as it can, and the time to judge a request. */
function measureBox(): void {
  const usedBytes = () => {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
  };
  const heapAtStart = usedBytes();
  const clock = createVirtualClock();
  const blame = createCrashBlame(clock, "b0");
  let count = 0;
  const attributes = () => {
    count += 1;
    const parts = [`a${count % 4}`, `b${count % 40}`, `c${count % thirdParts}`];
    const shared = parts.map((part) => sharedTrait("prompt part", part));
    return { request: `r${count}`, service: "engines", route: "r", shared };
  };
  const time = (work: () => unknown): string => {
    const startedAt = process.hrtime.bigint();
    for (let index = 0; index < choices; index++) work();
    const ns = Number(process.hrtime.bigint() - startedAt) / choices;
    return (ns / 1_000).toFixed(1);
  };
  const servedUs = time(() => blame.recordServed(attributes(), 300));
  const emptyUs = time(() => blame.isEmpty());
  for (let crash = 0; crash < crashCount; crash++) {
    for (let index = 0; index < requestsPerCrash; index++)
      blame.recordCrash(`e${crash}`, attributes(), { targetsInUse: 13 });
  }
  const judgedUs = time(() => blame.classify(attributes(), 13));
  const bytes = usedBytes() - heapAtStart;
  printLine("");
  printLine(
    `a served request is recorded in ${servedUs} us; a request is judged in ${emptyUs} us without crashes, ` +
      `in ${judgedUs} us with ${crashCount} crashes of ${requestsPerCrash} requests; ` +
      `${(bytes / 1_000_000).toFixed(1)} MB with these and ${thirdParts} parts`,
  );
}

await compareSizes();
measureBox();
