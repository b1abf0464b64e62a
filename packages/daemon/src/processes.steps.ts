import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  answerTokenCount,
  DeploymentProcesses,
  type EngineSpec,
  hashToken,
  operatorToken,
  type RunningBox,
  tokenAt,
  waitUntil,
} from "@linkfall/stand-ins";
import { account, model, scenarioState, pool } from "@linkfall/test-support";
import type { Change, Resource } from "@linkfall/types";

const token = "token-of-one";
const maxTokens = 80;
const modelNames = ["a", "b", "c"];
const timingSettings = {
  lease: { lease_ms: 3_000, renew_ms: 800, margin_ms: 400 },
  callers: { entries_lifetime_ms: 1_000, ticket_lifetime_ms: 2_000 },
  membership: { heartbeat_ms: 200, suspect_ms: 1_200 },
  placement: { plan_ms: 300 },
};

const engineShapes: readonly EngineSpec[] = [1, 2, 3, 4].map((number) => ({
  name: `e${number}`,
  pool: "p",
  domain: number % 2 === 0 ? "north" : "south",
  acceleratorsMb: [100],
  batchReserveMb: 0,
  role: "mixed",
  fenced: number !== 4,
  concurrency: 4,
  leaving: false,
}));

const deploymentOf = (world: object) => scenarioState(world).get<DeploymentProcesses>("deployment");

async function operatorRequest<T>(box: RunningBox, path: string, body?: unknown): Promise<T> {
  const response = await fetch(`http://${box.operatorAddress}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: { authorization: `Bearer ${operatorToken}` },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return (await response.json()) as T;
}

interface Status {
  readonly offset: number;
  readonly sessions: readonly { readonly pool: string }[];
  readonly models: readonly {
    readonly model: string;
    readonly version: string;
    readonly ready: number;
  }[];
}
const fetchStatus = (box: RunningBox) => operatorRequest<Status>(box, "/v1/status");

async function write(
  box: RunningBox,
  resources: readonly Resource[],
  base: number,
): Promise<number> {
  const changes: Change[] = resources.map((resource) => ({ action: "put", resource, base }));
  let revision = 0;
  const writeAccepted = async () => {
    const response = await operatorRequest<{ kind: string; revision: number }>(box, "/v1/writes", {
      changes,
    });
    revision = response.revision;
    return response.kind === "accepted";
  };
  await waitUntil(writeAccepted, () => "the write was not accepted");
  return revision;
}

const isReady = (status: Status, name: string, version = "1") =>
  status.models.some(
    (entry) => entry.model === name && entry.version === version && entry.ready > 0,
  );

Given(
  "a deployment of 3 boxes and 4 engines as processes, with all models loaded",
  async function (this: object) {
    const deployment = new DeploymentProcesses();
    scenarioState(this).set("deployment", deployment);
    await deployment.startPlatform();
    const engines = await Promise.all(engineShapes.map((shape) => deployment.startEngine(shape)));
    for (const [index, domain] of ["north", "south", "north"].entries()) {
      await deployment.startBox(`box-${index + 1}`, domain, timingSettings);
    }
    await Promise.all(deployment.boxes.map((box) => deployment.waitUntilReady(box)));
    const owner = account("one", { tokenHash: hashToken(token) });
    // Two replicas of each model allow a stream to fail over.
    const models = modelNames.map((name) => model(name, { sizeMb: 20, minReplicas: 2 }));
    await write(deployment.boxes[0], [owner, pool(), ...engines, ...models], 0);
    const allModelsLoaded = async () => {
      const statuses = await Promise.all(deployment.boxes.map(fetchStatus));
      return statuses.every(
        (status) => status.models.length > 0 && status.models.every((entry) => entry.ready >= 2),
      );
    };
    await waitUntil(allModelsLoaded, () => "not all models were loaded");
  },
);

After(async function (this: object) {
  let deployment: DeploymentProcesses;
  try {
    deployment = deploymentOf(this);
  } catch {
    return;
  }
  await deployment.stop();
});

interface CompletionOptions {
  readonly prompt: string;
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
}

function requestCompletion(
  box: RunningBox,
  { prompt, stream = false, headers = {} }: CompletionOptions,
) {
  return fetch(`http://${box.callerAddress}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${token}`, ...headers },
    body: JSON.stringify({ model: "a", prompt, max_tokens: maxTokens, stream }),
  });
}

function expectedText(prompt: string): string {
  const request = { model: "model:a@1", prompt, max_tokens: maxTokens };
  return Array.from({ length: answerTokenCount(request) }, (_, at) => tokenAt(request, at)).join(
    "",
  );
}

/** Returns the text of a stream; fails unless it ends with the end marker. */
async function readCompleteStream(response: Response): Promise<string> {
  const events = (await response.text()).split("\n\n").filter((event) => event !== "");
  assert.equal(events.pop(), "data: [DONE]");
  return events
    .map((event) => JSON.parse(event.slice(event.indexOf("data: ") + 6)).choices[0].text)
    .join("");
}

const countRuns = (deployment: DeploymentProcesses, prompt: string) =>
  [...deployment.engines.values()].flatMap((engine) =>
    engine.lines.filter((line) => line.prompt === prompt),
  ).length;

When(
  "the owner of a non-repeatable request is killed while it runs, and the request is retried through another box",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const [owner, other] = deployment.boxes;
    const entries = await fetch(`http://${owner.callerAddress}/v1/entries`, {
      headers: { authorization: `Bearer ${token}` },
    });
    const { ticket } = (await entries.json()) as { ticket: { id: string } };
    const headers = { "linkfall-repeatable": "false", "linkfall-request-id": `${ticket.id}/1` };
    const prompt = "a notice";
    const first = requestCompletion(owner, { prompt, headers }).then(
      () => "answered",
      () => "broken",
    );
    await waitUntil(
      () => countRuns(deployment, prompt) === 1,
      () => "the request never started",
    );
    owner.child.kill("SIGKILL");
    assert.equal(await first, "broken");
    const repeat = await requestCompletion(other, { prompt, headers });
    scenarioState(this).set(
      "outcome",
      ((await repeat.json()) as { error: { outcome: string } }).error.outcome,
    );
    scenarioState(this).set("prompt", prompt);
  },
);

Then(
  "the retry receives the outcome {string} and the request ran once",
  function (this: object, outcome: string) {
    assert.equal(scenarioState(this).get("outcome"), outcome);
    assert.equal(countRuns(deploymentOf(this), scenarioState(this).get("prompt")), 1);
  },
);

async function findLeaseHolder(boxes: readonly RunningBox[]): Promise<RunningBox | undefined> {
  for (const box of boxes) {
    if ((await fetchStatus(box)).sessions.length > 0) return box;
  }
  return undefined;
}

When(
  "the lease holder is suspended until another box holds the lease, then resumed, and a model is updated to a new version",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const holder = await findLeaseHolder(deployment.boxes);
    assert.ok(holder);
    const others = deployment.boxes.filter((box) => box !== holder);
    holder.child.kill("SIGSTOP");
    await waitUntil(
      async () => (await findLeaseHolder(others)) !== undefined,
      () => "no other box acquired the lease",
    );
    holder.child.kill("SIGCONT");
    const [stored] = (
      await operatorRequest<{ resources: { resource: Resource; revision: number }[] }>(
        others[0],
        "/v1/resources",
      )
    ).resources.filter(({ resource }) => resource.kind === "model" && resource.name === "a");
    await write(others[0], [{ ...stored.resource, version: "2" } as Resource], stored.revision);
  },
);

Then(
  "the new version becomes ready and no stand-in recorded a violation",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const readyOnAllBoxes = async () => {
      const statuses = await Promise.all(deployment.boxes.map(fetchStatus));
      return statuses.every((status) => isReady(status, "a", "2"));
    };
    await waitUntil(readyOnAllBoxes, () => "version 2 did not become ready");
    assert.deepEqual(deployment.violations(), []);
  },
);

When("the log becomes unreachable and a new box starts", async function (this: object) {
  const deployment = deploymentOf(this);
  await deployment.post(deployment.logAddress, "/faults", { down: true });
  scenarioState(this).set("box", await deployment.startBox("box-4", "south", timingSettings));
});

Then(
  "the new box becomes ready and serves, and after the outage a change is in force on all boxes",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const box = scenarioState(this).get<RunningBox>("box");
    await deployment.waitUntilReady(box);
    const prompt = "during the outage";
    const serves = async () => (await requestCompletion(box, { prompt })).status === 200;
    await waitUntil(serves, () => "the new box does not serve");
    await deployment.post(deployment.logAddress, "/faults", { down: false });
    const revision = await write(box, [account("two")], 0);
    const inForce = async () => {
      const statuses = await Promise.all(deployment.boxes.map(fetchStatus));
      return statuses.every((status) => status.offset >= revision);
    };
    await waitUntil(inForce, () => "the change is not in force on all boxes");
  },
);

When("all boxes are killed and three new ones start", async function (this: object) {
  const deployment = deploymentOf(this);
  const killed = [...deployment.boxes];
  for (const box of killed) box.child.kill("SIGKILL");
  await Promise.all(killed.map((box) => box.exited));
  const started: RunningBox[] = [];
  for (const name of ["box-1", "box-2", "box-3"]) {
    started.push(await deployment.startBox(name, "north", timingSettings));
  }
  await Promise.all(started.map((box) => deployment.waitUntilReady(box)));
  scenarioState(this).set("started", started);
});

Then(
  "each new box serves, the replicas are unchanged, and no stand-in recorded a violation",
  async function (this: object) {
    const deployment = deploymentOf(this);
    for (const box of scenarioState(this).get<RunningBox[]>("started")) {
      const serves = async () =>
        (await requestCompletion(box, { prompt: "after the kill" })).status === 200;
      await waitUntil(serves, () => "a new box does not serve");
      const reportsBothReplicas = async () =>
        (await fetchStatus(box)).models.every((entry) => entry.ready === 2);
      await waitUntil(reportsBothReplicas, () => "a new box does not report both replicas");
    }
    assert.deepEqual(deployment.violations(), []);
  },
);

/** Sends a signal to the first box while it serves streams, and waits until the streams have ended. */
async function sendSignalDuringStreams(world: object, signal: NodeJS.Signals): Promise<RunningBox> {
  const deployment = deploymentOf(world);
  const [box] = deployment.boxes;
  const prompts = Array.from({ length: 10 }, (_, index) => `stream ${index}`);
  const streams = prompts.map((prompt) =>
    requestCompletion(box, { prompt, stream: true }).then(readCompleteStream),
  );
  await waitUntil(
    () => prompts.every((prompt) => countRuns(deployment, prompt) > 0),
    () => "not all streams started",
  );
  box.child.kill(signal);
  scenarioState(world).set("texts", await Promise.all(streams));
  scenarioState(world).set("prompts", prompts);
  return box;
}

When("a box is stopped while it serves streams", async function (this: object) {
  const box = await sendSignalDuringStreams(this, "SIGTERM");
  scenarioState(this).set("exit", await box.exited);
});

When("a box receives SIGHUP while it serves streams", async function (this: object) {
  scenarioState(this).set("box", await sendSignalDuringStreams(this, "SIGHUP"));
});

Then("all streams complete and the box continues to serve", async function (this: object) {
  const prompts = scenarioState(this).get<string[]>("prompts");
  assert.deepEqual(scenarioState(this).get("texts"), prompts.map(expectedText));
  const response = await requestCompletion(scenarioState(this).get<RunningBox>("box"), {
    prompt: "afterwards",
  });
  assert.equal(response.status, 200);
});

Then("all streams complete and the box exits with 0", function (this: object) {
  const prompts = scenarioState(this).get<string[]>("prompts");
  assert.deepEqual(scenarioState(this).get("texts"), prompts.map(expectedText));
  assert.equal(scenarioState(this).get("exit"), 0);
});

When("the engine that runs a repeatable stream is killed", async function (this: object) {
  const deployment = deploymentOf(this);
  const prompt = "a long bulletin";
  const stream = requestCompletion(deployment.boxes[0], { prompt, stream: true }).then(
    readCompleteStream,
  );
  await waitUntil(
    () => countRuns(deployment, prompt) === 1,
    () => "the stream did not start",
  );
  const engine = [...deployment.engines.values()].find((entry) =>
    entry.lines.some((line) => line.prompt === prompt),
  );
  engine?.child.kill("SIGKILL");
  scenarioState(this).set("text", await stream);
  scenarioState(this).set("prompt", prompt);
});

Then("the stream completes", function (this: object) {
  assert.equal(scenarioState(this).get("text"), expectedText(scenarioState(this).get("prompt")));
});
