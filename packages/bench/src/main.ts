/** `npm run bench -- routing|placement|capacity|...` */
import { parseArgs } from "node:util";
import { acceleratorCount, deployments } from "./deployments.js";
import { type RunResult, runPolicy, type Variant } from "./policy-run.js";
import { experiments } from "./experiments.js";

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seeds: { type: "string", default: "5" },
    deployment: { type: "string" },
    variant: { type: "string" },
    faults: { type: "boolean", default: false },
    misses: { type: "boolean", default: false },
  },
});

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

const mean = (list: readonly number[]) => list.reduce((sum, each) => sum + each, 0) / list.length;
const percent = (value: number) => (100 * value).toFixed(1);

/** Mean and spread over seeds, as `mean (least to most)`. */
function spread(list: readonly number[], show: (value: number) => string): string {
  return `${show(mean(list))} (${show(Math.min(...list))} to ${show(Math.max(...list))})`;
}

function row(variant: Variant, results: readonly RunResult[], accelerators: number): string {
  const latencies = results.flatMap((result) => [...result.latencies]).sort((a, b) => a - b);
  const whole = (value: number) => value.toFixed(0);
  const cells = [
    variant.name,
    spread(
      results.map((result) => result.attainment),
      percent,
    ),
    (mean(results.map((result) => 100 * result.attainment)) / accelerators).toFixed(3),
    spread(
      results.map((result) => result.moves),
      whole,
    ),
    whole(quantile(latencies, 0.5)),
    whole(quantile(latencies, 0.95)),
    whole(quantile(latencies, 0.99)),
    spread(
      results.map((result) => result.notRun),
      percent,
    ),
  ];
  return `| ${cells.join(" | ")} |`;
}

const heads = [
  "variant",
  "attainment %",
  "% per accelerator",
  "moves",
  "p50 ms",
  "p95 ms",
  "p99 ms",
  "not run %",
];

const name = positionals[0] ?? "routing";
const experiment = experiments[name];
if (!experiment) throw new Error(`one of ${Object.keys(experiments).join(", ")}`);
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);
for (const deployment of deployments) {
  if (values.deployment !== undefined && values.deployment !== deployment.name) continue;
  say(
    `\n${deployment.name}, ${name}${values.faults ? ", with the loss of a failure domain" : ""}\n`,
  );
  say(`| ${heads.join(" | ")} |\n|${" --- |".repeat(heads.length)}`);
  for (const variant of experiment) {
    if (values.variant !== undefined && values.variant !== variant.name) continue;
    const results: RunResult[] = [];
    for (const seed of seeds) {
      results.push(await runPolicy(deployment, variant, seed, values.faults));
    }
    say(row(variant, results, acceleratorCount(deployment)));
    if (!values.misses) continue;
    for (const result of results) say(JSON.stringify([...result.missed].sort()));
  }
}
