/** `npm run soak -- --seeds A..B [--faults x,y]`: runs seeds and prints what they showed. */
import { parseArgs } from "node:util";
import { type FaultName, faultsByName } from "./scenarios/faults.js";
import { endMs, runSeed, type SeedResult } from "./scenarios/run-seed.js";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1..20" },
    faults: { type: "string" },
    quiet: { type: "boolean", default: false },
    "first-failure": { type: "boolean", default: false },
  },
});
const [first, last] = values.seeds.split("..").map(Number);
const faults = values.faults?.split(",").filter((name): name is FaultName => name in faultsByName);

function addCount<K>(totals: Map<K, number>, key: K, count = 1): void {
  totals.set(key, (totals.get(key) ?? 0) + count);
}

function printCounts(title: string, totals: Map<string, number>): void {
  const parts = [...totals]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, count]) => `${key} ${count}`);
  process.stdout.write(`${title}: ${parts.join(", ")}\n`);
}

function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
}

const results: SeedResult[] = [];
for (let seed = first; seed <= (last ?? first); seed++) {
  const result = await runSeed(seed, { faults });
  results.push(result);
  if (result.violations.length > 0) {
    process.stdout.write(
      `seed ${seed} FAILED; repeat with: npm run soak -- --seeds ${seed}..${seed}\n`,
    );
    for (const violation of result.violations.slice(0, 10))
      process.stdout.write(`  ${violation}\n`);
    if (values["first-failure"]) break;
  } else if (!values.quiet) {
    process.stdout.write(`seed ${seed} passed\n`);
  }
}

const outcomeCounts = new Map<string, number>();
const faultCounts = new Map<string, number>();
for (const result of results) {
  for (const [word, count] of result.outcomes) addCount(outcomeCounts, word, count);
  for (const fault of result.faults) addCount(faultCounts, fault);
}
const inForceTimes = results.flatMap((result) => [...result.inForceTimes]).sort((a, b) => a - b);
const failed = results.filter((result) => result.violations.length > 0).length;
const writes = results.reduce((sum, result) => sum + result.acceptedWrites, 0);
const conflicts = results.reduce((sum, result) => sum + result.conflicts, 0);
printCounts("requests by outcome", outcomeCounts);
printCounts("faults injected", faultCounts);
const appendCounts = new Map<string, number>();
for (const result of results) {
  for (const [stream, count] of result.appends.byStream) addCount(appendCounts, stream, count);
}
const virtualSeconds = (results.length * endMs) / 1_000;
const appendRates = [...appendCounts].map(
  ([stream, count]) => `${stream} ${(count / virtualSeconds).toFixed(2)}`,
);
const peakAppendsPerSecond = Math.max(...results.map((result) => result.appends.peakPerSecond));
process.stdout.write(
  `appends a second: ${appendRates.join(", ")}; most in a second ${peakAppendsPerSecond}\n`,
);
process.stdout.write(`writes accepted ${writes}, conflicts ${conflicts}\n`);
process.stdout.write(
  `in force after ms: p50 ${quantile(inForceTimes, 0.5)}, p99 ${quantile(inForceTimes, 0.99)}, most ${inForceTimes.at(-1) ?? 0}, of ${inForceTimes.length}\n`,
);
process.stdout.write(`${results.length - failed} passed, ${failed} failed\n`);
process.exitCode = failed > 0 ? 1 : 0;
