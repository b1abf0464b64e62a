/**
 * `npm run bench -- EXPERIMENT [--seeds N] [--deployment D] [--variant V] [--faults] [--steady]
 * [--extra-minutes N] [--misses] [--plot FOLDER]`: compares the variants of an experiment. Prints a
 * table per deployment and writes a plot on request. `--misses` adds the missed requests of each run.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { acceleratorCount, type Deployment, deployments } from "./deployments.js";
import { experiments } from "./experiments.js";
import { runPolicy, type RunResult, type Variant } from "./policy-run.js";
import { plotSvg, tableHeader, tableRow, type VariantResults } from "./report.js";

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seeds: { type: "string", default: "5" },
    deployment: { type: "string" },
    variant: { type: "string" },
    faults: { type: "boolean", default: false },
    steady: { type: "boolean", default: false },
    "extra-minutes": { type: "string", default: "0" },
    misses: { type: "boolean", default: false },
    plot: { type: "string" },
  },
});

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

const experimentName = positionals[0] ?? "routing";
const experiment = experiments[experimentName];
if (!experiment)
  throw new Error(`unknown experiment; expected one of ${Object.keys(experiments).join(", ")}`);
const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);

const conditions = {
  faults: values.faults,
  steady: values.steady,
  extraMinutes: Number(values["extra-minutes"]),
};

async function runVariant(deployment: Deployment, variant: Variant): Promise<VariantResults> {
  const results: RunResult[] = [];
  for (const seed of seeds) {
    results.push(await runPolicy(deployment, variant, seed, conditions));
  }
  return { variant: variant.name, results };
}

function titleOf(deployment: Deployment): string {
  const faults = values.faults ? ", with the loss of a failure domain" : "";
  const steady = values.steady ? ", at steady demand" : "";
  return `${deployment.name}, ${experimentName}${faults}${steady}`;
}

for (const deployment of deployments) {
  if (values.deployment !== undefined && values.deployment !== deployment.name) continue;
  printLine(`\n${titleOf(deployment)}\n\n${tableHeader}`);
  const all: VariantResults[] = [];
  for (const variant of experiment) {
    if (values.variant !== undefined && values.variant !== variant.name) continue;
    const results = await runVariant(deployment, variant);
    all.push(results);
    printLine(tableRow(results, acceleratorCount(deployment)));
    if (!values.misses) continue;
    for (const result of results.results) printLine(JSON.stringify([...result.missed].sort()));
  }
  if (values.plot === undefined) continue;
  const file = join(
    values.plot,
    `${deployment.name}-${experimentName}${values.faults ? "-faults" : ""}.svg`,
  );
  writeFileSync(file, plotSvg(titleOf(deployment), all));
}
