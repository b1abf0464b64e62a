/** `npm run planted-faults`: runs seeds with each planted fault until one of them fails. */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import { type PlantedFault, plantedFaults } from "./planted-faults.js";

const maxSeeds = 40;
const concurrency = 6;
const soakMain = fileURLToPath(new URL("../main.js", import.meta.url));
const loader = new URL("./planted-loader.js", import.meta.url).href;

interface PlantedResult {
  readonly fault: PlantedFault;
  readonly caught: boolean;
  readonly seed: string;
  readonly violation: string;
}

function runSoak(fault: PlantedFault): Promise<string> {
  const args =
    fault.scenario === undefined
      ? ["--import", loader, soakMain, "--seeds", `1..${maxSeeds}`, "--first-failure"]
      : ["--import", loader, "scripts/run-tests.mjs", fault.scenario];
  if (fault.faults) args.push("--faults", fault.faults.join(","));
  const env = { ...process.env, LINKFALL_PLANTED: fault.name };
  const child = spawn(process.execPath, args, { env, stdio: ["ignore", "pipe", "pipe"] });
  let text = "";
  child.stdout.on("data", (chunk) => (text += chunk));
  child.stderr.on("data", (chunk) => (text += chunk));
  return new Promise((resolve) => child.once("exit", () => resolve(text)));
}

async function testFault(fault: PlantedFault): Promise<PlantedResult> {
  const text = await runSoak(fault);
  const failed = /seed (\d+) FAILED.*\n\s*(.*)/.exec(text) ?? /()^failed: (.*)$/m.exec(text);
  if (!text.includes(`planted ${fault.name}`)) {
    return { fault, caught: false, seed: "", violation: `not planted: ${text.slice(0, 200)}` };
  }
  return {
    fault,
    caught: failed !== null,
    seed: failed?.[1] ?? "",
    violation: failed?.[2] ?? `none in ${maxSeeds} seeds`,
  };
}

const only = process.argv[2];
const pendingFaults = plantedFaults.filter((fault) => only === undefined || fault.name === only);
const results: PlantedResult[] = [];
async function runPending(): Promise<void> {
  for (let fault = pendingFaults.shift(); fault; fault = pendingFaults.shift()) {
    results.push(await testFault(fault));
  }
}
await Promise.all(Array.from({ length: concurrency }, runPending));
results.sort((a, b) => (a.fault.promise < b.fault.promise ? -1 : 1));
for (const { fault, caught, seed, violation } of results) {
  const where = seed === "" ? "by its scenario" : `at seed ${seed}`;
  const verdict = caught ? `caught ${where}` : "NOT CAUGHT";
  process.stdout.write(
    `${fault.promise} | ${fault.name} | ${verdict} | ${violation.slice(0, 110)}\n`,
  );
}
const missed = results.filter((result) => !result.caught).length;
process.stdout.write(`${results.length - missed} passed, ${missed} failed\n`);
process.exitCode = missed > 0 ? 1 : 0;
