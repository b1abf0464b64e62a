/** `npm run planted-faults [-- NAME]`: mutation testing. Runs seeds with each planted fault until one fails. */
import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import { match } from "ts-pattern";
import { editsOf, type PlantedFault, plantedFaults, plantedLine } from "./planted-faults.js";

const maxSeeds = 40;
const concurrency = 6;
const soakMain = fileURLToPath(new URL("../main.js", import.meta.url));
const loader = new URL("./planted-loader.js", import.meta.url).href;

/** `not_planted` says that the mutation was not in effect, so that the run proves nothing about its safeguard. */
type Verdict = "caught" | "not_caught" | "not_planted";

interface PlantedResult {
  readonly fault: PlantedFault;
  readonly verdict: Verdict;
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
  const missing = editsOf(fault).find(({ file }) => !text.includes(plantedLine(file)));
  if (missing) {
    const lastLine = text.trim().split("\n").at(-1) ?? "";
    const violation = `${missing.file} was loaded without it: ${lastLine}`;
    return { fault, verdict: "not_planted", seed: "", violation };
  }
  const failed = /seed (\d+) FAILED.*\n\s*(.*)/.exec(text) ?? /()^failed: (.*)$/m.exec(text);
  if (!failed) {
    const violation = fault.scenario === undefined ? `none in ${maxSeeds} seeds` : "it passed";
    return { fault, verdict: "not_caught", seed: "", violation };
  }
  return { fault, verdict: "caught", seed: failed[1], violation: failed[2] };
}

function describeVerdict({ verdict, seed }: PlantedResult): string {
  return match(verdict)
    .with("caught", () => `caught ${seed === "" ? "by its scenario" : `at seed ${seed}`}`)
    .with("not_caught", () => "NOT CAUGHT")
    .with("not_planted", () => "NOT PLANTED")
    .exhaustive();
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
for (const result of results) {
  const { fault, violation } = result;
  const columns = [fault.promise, fault.name, describeVerdict(result), violation.slice(0, 110)];
  process.stdout.write(`${columns.join(" | ")}\n`);
}
const missed = results.filter((result) => result.verdict !== "caught").length;
process.stdout.write(`${results.length - missed} passed, ${missed} failed\n`);
process.exitCode = missed > 0 ? 1 : 0;
