/** `npm run demo`: starts a small deployment on loopback, sends requests and prints the responses. */
import { createOperatorClient } from "@linkfall/operator-client";
import { DeploymentProcesses, operatorToken, waitUntil } from "@linkfall/stand-ins";
import { type RequestResult, fetchEntries, sendRequest } from "./callers.js";
import { accountTokens, demoEngines, demoResources } from "./desired-state.js";

const { dispatch, tunnels } = accountTokens;
const keepRunning = process.argv.includes("--stay");
const deployment = new DeploymentProcesses();
const results: RequestResult[] = [];

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function recordResult(title: string, result: RequestResult): void {
  results.push(result);
  const text = result.text.trim();
  printLine(
    `\n${title}\n  ${result.status} ${result.outcome}: ${text.length > 300 ? `${text.slice(0, 300)}…` : text}`,
  );
}

async function startDeployment(): Promise<void> {
  await deployment.startPlatform();
  const engines = await Promise.all(demoEngines.map((shape) => deployment.startEngine(shape)));
  const services = await Promise.all([0, 1].map(() => deployment.startStandIn("service")));
  const domains = ["north", "south", "east"];
  const boxes = await Promise.all(
    domains.map((domain, index) => deployment.startBox(`box-${index + 1}`, domain)),
  );
  await Promise.all(boxes.map((box) => deployment.waitUntilReady(box)));
  const resources = demoResources(
    engines,
    services.map((service) => service.address),
  );
  const changes = resources.map((resource) => ({ action: "put", resource, base: 0 }) as const);
  const written = await createOperator(0).write(changes);
  printLine(`desired state: ${JSON.stringify(written.extract())}`);
}

function createOperator(index: number) {
  const url = `http://${deployment.boxes[index].operatorAddress}`;
  return createOperatorClient({ url, token: operatorToken });
}

/** Waits until every box reports a ready replica of every model, with all its adapters. */
async function waitUntilReady(): Promise<void> {
  const allModelsReady = async () => {
    const statuses = await Promise.all(
      deployment.boxes.map((_, index) => createOperator(index).status()),
    );
    return statuses.every((answer) =>
      answer
        .map(
          ({ models }) =>
            models.length > 0 &&
            models.every((model) => model.ready > 0 && model.adaptersReady === model.adapters),
        )
        .orDefault(false),
    );
  };
  await waitUntil(allModelsReady, () => "timed out waiting for all models to become ready", 60_000);
}

async function sendRequests(): Promise<void> {
  const first = deployment.boxes[0].callerAddress;
  const { entries, ticket } = await fetchEntries(first, dispatch);
  printLine(
    `\ncaller addresses: ${entries.map((entry) => `${entry.box} ${entry.address}`).join(", ")}`,
  );
  const [firstEntry, secondEntry] = [entries[0].address, entries[1].address];
  const prompt = "Station log, Garching, 09:40 UTC: 3.1 at 4 km. Write the bulletin.";

  recordResult(
    "completion, not streamed",
    await sendRequest(firstEntry, dispatch, "/v1/completions", {
      model: "bulletin-short",
      prompt,
      max_tokens: 12,
    }),
  );
  recordResult(
    "completion, streamed",
    await sendRequest(secondEntry, dispatch, "/v1/completions", {
      model: "bulletin-long",
      prompt,
      max_tokens: 3,
      stream: true,
    }),
  );
  recordResult(
    "completion with an adapter",
    await sendRequest(firstEntry, dispatch, "/v1/completions", {
      model: "notice-german",
      prompt,
      max_tokens: 8,
    }),
  );

  const nonRepeatable = {
    "linkfall-repeatable": "false",
    "linkfall-request-id": `${ticket.id}/notice-1`,
  };
  const notice = { model: "notice", prompt: "Notice for Murnau", max_tokens: 8 };
  recordResult(
    "non-repeatable request",
    await sendRequest(firstEntry, dispatch, "/v1/completions", notice, nonRepeatable),
  );
  recordResult(
    "same request ID, through another box",
    await sendRequest(secondEntry, dispatch, "/v1/completions", notice, nonRepeatable),
  );
  recordResult(
    "non-repeatable request without a ticket",
    await sendRequest(secondEntry, dispatch, "/v1/completions", notice, {
      "linkfall-repeatable": "false",
    }),
  );
  recordResult(
    "model of another account",
    await sendRequest(firstEntry, tunnels, "/v1/completions", {
      model: "notice",
      prompt,
      max_tokens: 8,
    }),
  );
  recordResult(
    "HTTP service",
    await sendRequest(secondEntry, tunnels, "/services/feed/snippets/17"),
  );
}

function printSummary(): void {
  const counts = new Map<string, number>();
  for (const { outcome } of results) counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  const text = [...counts].map(([outcome, count]) => `${count} ${outcome}`).join(", ");
  printLine(
    `\nsummary: ${results.length} requests: ${text}; violations reported by the simulated targets: ${deployment.violations().length}`,
  );
}

function printAddresses(): void {
  printLine("\nthe deployment keeps running; press Ctrl-C to stop it");
  for (const box of deployment.boxes) {
    printLine(
      `  ${box.name}: callers http://${box.callerAddress}, operators http://${box.operatorAddress}`,
    );
  }
  printLine(`  caller token: ${dispatch}`);
  printLine(
    `  export LINKFALL_BOX=http://${deployment.boxes[0].operatorAddress} LINKFALL_TOKEN=${operatorToken}`,
  );
  printLine("  npx linkfall status");
}

async function main(): Promise<void> {
  await startDeployment();
  await waitUntilReady();
  await sendRequests();
  printSummary();
  if (!keepRunning) return deployment.stop();
  printAddresses();
  const interrupted = new Promise((resolve) => process.once("SIGINT", resolve));
  await Promise.race([interrupted, new Promise((resolve) => process.once("SIGTERM", resolve))]);
  await deployment.stop();
}

try {
  await main();
} catch (error) {
  process.stderr.write(`demo: ${String(error)}\n`);
  for (const box of deployment.boxes) process.stderr.write(box.stderrText().slice(-2_000));
  await deployment.stop();
  process.exitCode = 1;
}
