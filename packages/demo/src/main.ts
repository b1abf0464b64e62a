/** `npm run demo`: starts a small deployment on loopback, sends requests, prints what came of them. */
import { createOperatorClient } from "@linkfall/operator-client";
import { DeploymentProcesses, operatorToken, waitUntil } from "@linkfall/stand-ins";
import { type Answered, askEntries, call } from "./callers.js";
import { accountTokens, demoEngines, demoResources } from "./desired-state.js";

const { dispatch, tunnels } = accountTokens;
const stay = process.argv.includes("--stay");
const deployment = new DeploymentProcesses();
const results: Answered[] = [];

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function show(title: string, answer: Answered): void {
  results.push(answer);
  const text = answer.text.trim();
  say(
    `\n${title}\n  ${answer.status} ${answer.outcome}: ${text.length > 300 ? `${text.slice(0, 300)}…` : text}`,
  );
}

async function startAll(): Promise<void> {
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
  const written = await operator(0).write(changes);
  say(`desired state: ${JSON.stringify(written.extract())}`);
}

function operator(index: number) {
  const url = `http://${deployment.boxes[index].operatorAddress}`;
  return createOperatorClient({ url, token: operatorToken });
}

/** Waits until every model has a ready copy in the eyes of every box. */
async function untilPlaced(): Promise<void> {
  const placed = async () => {
    const statuses = await Promise.all(
      deployment.boxes.map((_, index) => operator(index).status()),
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
  await waitUntil(placed, () => "not every model became ready", 60_000);
}

async function sendRequests(): Promise<void> {
  const first = deployment.boxes[0].callerAddress;
  const { entries, ticket } = await askEntries(first, dispatch);
  say(`\naddresses to use: ${entries.map((entry) => `${entry.box} ${entry.address}`).join(", ")}`);
  const [one, two] = [entries[0].address, entries[1].address];
  const prompt = "Station log, Garching, 09:40 UTC: 3.1 at 4 km. Write the bulletin.";

  show(
    "a bulletin, whole",
    await call(one, dispatch, "/v1/completions", {
      model: "bulletin-short",
      prompt,
      max_tokens: 12,
    }),
  );
  show(
    "a bulletin, streamed",
    await call(two, dispatch, "/v1/completions", {
      model: "bulletin-long",
      prompt,
      max_tokens: 3,
      stream: true,
    }),
  );
  show(
    "an adapter",
    await call(one, dispatch, "/v1/completions", { model: "notice-german", prompt, max_tokens: 8 }),
  );

  const once = { "linkfall-repeatable": "false", "linkfall-request-id": `${ticket.id}/notice-1` };
  const notice = { model: "notice", prompt: "Notice for Murnau", max_tokens: 8 };
  show("a notice that may run once", await call(one, dispatch, "/v1/completions", notice, once));
  show(
    "the same again, through another box",
    await call(two, dispatch, "/v1/completions", notice, once),
  );
  show(
    "a notice without a ticket",
    await call(two, dispatch, "/v1/completions", notice, { "linkfall-repeatable": "false" }),
  );
  show(
    "another account's model",
    await call(one, tunnels, "/v1/completions", { model: "notice", prompt, max_tokens: 8 }),
  );
  show("a plain service", await call(two, tunnels, "/services/feed/snippets/17"));
}

function summarise(): void {
  const counts = new Map<string, number>();
  for (const { outcome } of results) counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  const text = [...counts].map(([outcome, count]) => `${count} ${outcome}`).join(", ");
  say(
    `\nsummary: ${results.length} requests: ${text}; violations seen by the stand-ins: ${deployment.violations().length}`,
  );
}

function sayAddresses(): void {
  say("\nstaying up; end with Ctrl-C");
  for (const box of deployment.boxes) {
    say(
      `  ${box.name}: callers http://${box.callerAddress}, operators http://${box.operatorAddress}`,
    );
  }
  say(`  caller's token: ${dispatch}`);
  say(
    `  export LINKFALL_BOX=http://${deployment.boxes[0].operatorAddress} LINKFALL_TOKEN=${operatorToken}`,
  );
  say("  npx linkfall status");
}

async function main(): Promise<void> {
  await startAll();
  await untilPlaced();
  await sendRequests();
  summarise();
  if (!stay) return deployment.stop();
  sayAddresses();
  const interrupted = new Promise((resolve) => process.once("SIGINT", resolve));
  await Promise.race([interrupted, new Promise((resolve) => process.once("SIGTERM", resolve))]);
  await deployment.stop();
}

try {
  await main();
} catch (problem) {
  process.stderr.write(`demo: ${String(problem)}\n`);
  for (const box of deployment.boxes) process.stderr.write(box.stderrText().slice(-2_000));
  await deployment.stop();
  process.exitCode = 1;
}
