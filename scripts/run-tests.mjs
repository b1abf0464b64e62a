/**
 * Runs the Cucumber scenarios and prints "N passed, N failed" as the last line. Failures of scenarios
 * listed in KNOWN-RED.txt (`name: cause: issue`) are printed but do not fail the run.
 *
 * usage: node scripts/run-tests.mjs [text in scenario names]
 *
 * TEST_WORKERS=N runs N scenarios at a time. The default is one: scenarios with real time limits share the processor.
 */
import { existsSync, readFileSync } from "node:fs";
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";

const knownFailuresFile = "KNOWN-RED.txt";

function readKnownFailures() {
  if (!existsSync(knownFailuresFile)) return [];
  const lines = readFileSync(knownFailuresFile, "utf8").split("\n");
  return lines
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => line.split(":")[0].trim());
}

const names = process.argv.slice(2);
const workers = Number(process.env.TEST_WORKERS ?? 1);
const { runConfiguration } = await loadConfiguration({
  provided: {
    name: names,
    format: ["progress"],
    parallel: workers > 1 ? workers : 0,
  },
});
const knownFailures = readKnownFailures();
const scenarioNames = new Map();
const pickleIds = new Map();
const attemptNames = new Map();
const failures = new Map();
const attempts = new Set();

await runCucumber(runConfiguration, {}, (envelope) => {
  if (envelope.pickle) scenarioNames.set(envelope.pickle.id, envelope.pickle.name);
  if (envelope.testCase) pickleIds.set(envelope.testCase.id, envelope.testCase.pickleId);
  if (envelope.testCaseStarted) {
    const { id, testCaseId } = envelope.testCaseStarted;
    attemptNames.set(id, scenarioNames.get(pickleIds.get(testCaseId)));
  }
  if (envelope.testStepFinished) {
    const { testCaseStartedId, testStepResult } = envelope.testStepFinished;
    attempts.add(testCaseStartedId);
    if (testStepResult.status !== "PASSED") {
      failures.set(testCaseStartedId, attemptNames.get(testCaseStartedId));
    }
  }
});

const failed = [...failures.values()].filter((name) => !knownFailures.includes(name));
for (const name of [...failures.values()].filter((name) => knownFailures.includes(name))) {
  console.log(`known red: ${name}`);
}
for (const name of failed) console.log(`failed: ${name}`);
const openHandles = process.getActiveResourcesInfo().filter((kind) => kind === "TCPSocketWrap");
if (openHandles.length > 0) console.log(`connections open at the end: ${openHandles.length}`);
process.exitCode = failed.length > 0 || attempts.size === 0 ? 1 : 0;
// Connections and timers that a failed scenario has left open would keep the process running for good.
process.stdout.write(`${attempts.size - failures.size} passed, ${failed.length} failed\n`, () =>
  process.exit(),
);
