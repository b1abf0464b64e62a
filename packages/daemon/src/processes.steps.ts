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
const longAnswer = 80;
const modelNames = ["a", "b", "c"];
const times = {
  lease: { lease_ms: 3_000, renew_ms: 800, margin_ms: 400 },
  callers: { entries_lifetime_ms: 1_000, ticket_lifetime_ms: 2_000 },
  membership: { heartbeat_ms: 200, suspect_ms: 1_200 },
  placement: { plan_ms: 300 },
};

const shapes: readonly EngineSpec[] = [1, 2, 3, 4].map((number) => ({
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

async function operatorAsk<T>(box: RunningBox, path: string, body?: unknown): Promise<T> {
  const answer = await fetch(`http://${box.operatorAddress}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers: { authorization: `Bearer ${operatorToken}` },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return (await answer.json()) as T;
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
const statusOf = (box: RunningBox) => operatorAsk<Status>(box, "/v1/status");

async function write(
  box: RunningBox,
  resources: readonly Resource[],
  base: number,
): Promise<number> {
  const changes: Change[] = resources.map((resource) => ({ action: "put", resource, base }));
  let revision = 0;
  const accepted = async () => {
    const answer = await operatorAsk<{ kind: string; revision: number }>(box, "/v1/writes", {
      changes,
    });
    revision = answer.revision;
    return answer.kind === "accepted";
  };
  await waitUntil(accepted, () => "the write was not accepted");
  return revision;
}

const isReady = (status: Status, name: string, version = "1") =>
  status.models.some((each) => each.model === name && each.version === version && each.ready > 0);

Given(
  "a deployment of 3 boxes and 4 engines as processes, with every model placed",
  async function (this: object) {
    const deployment = new DeploymentProcesses();
    scenarioState(this).set("deployment", deployment);
    await deployment.startPlatform();
    const engines = await Promise.all(shapes.map((shape) => deployment.startEngine(shape)));
    for (const [index, domain] of ["north", "south", "north"].entries()) {
      await deployment.startBox(`box-${index + 1}`, domain, times);
    }
    await Promise.all(deployment.boxes.map((box) => deployment.waitUntilReady(box)));
    const owner = account("one", { tokenHash: hashToken(token) });
    // Two copies of each, so that a stream can go on elsewhere.
    const models = modelNames.map((name) => model(name, { sizeMb: 20, minReplicas: 2 }));
    await write(deployment.boxes[0], [owner, pool(), ...engines, ...models], 0);
    const placed = async () => {
      const statuses = await Promise.all(deployment.boxes.map(statusOf));
      return statuses.every(
        (status) => status.models.length > 0 && status.models.every((each) => each.ready >= 2),
      );
    };
    await waitUntil(placed, () => "the models were not placed");
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

interface Complete {
  readonly prompt: string;
  readonly stream?: boolean;
  readonly headers?: Readonly<Record<string, string>>;
}

function complete(box: RunningBox, { prompt, stream = false, headers = {} }: Complete) {
  return fetch(`http://${box.callerAddress}/v1/completions`, {
    method: "POST",
    headers: { authorization: `Bearer ${token}`, ...headers },
    body: JSON.stringify({ model: "a", prompt, max_tokens: longAnswer, stream }),
  });
}

function expectedText(prompt: string): string {
  const asked = { model: "model:a@1", prompt, max_tokens: longAnswer };
  return Array.from({ length: answerTokenCount(asked) }, (_, at) => tokenAt(asked, at)).join("");
}

/** The text of a stream that came to its end marker. */
async function wholeStream(response: Response): Promise<string> {
  const events = (await response.text()).split("\n\n").filter((event) => event !== "");
  assert.equal(events.pop(), "data: [DONE]");
  return events
    .map((event) => JSON.parse(event.slice(event.indexOf("data: ") + 6)).choices[0].text)
    .join("");
}

const runsOf = (deployment: DeploymentProcesses, prompt: string) =>
  [...deployment.engines.values()].flatMap((engine) =>
    engine.lines.filter((line) => line.prompt === prompt),
  ).length;

When(
  "the owner of such a request is killed while it runs, and the request is repeated through another box",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const [owner, other] = deployment.boxes;
    const entries = await fetch(`http://${owner.callerAddress}/v1/entries`, {
      headers: { authorization: `Bearer ${token}` },
    });
    const { ticket } = (await entries.json()) as { ticket: { id: string } };
    const headers = { "linkfall-repeatable": "false", "linkfall-request-id": `${ticket.id}/1` };
    const prompt = "a notice";
    const first = complete(owner, { prompt, headers }).then(
      () => "answered",
      () => "broken",
    );
    await waitUntil(
      () => runsOf(deployment, prompt) === 1,
      () => "the request never started",
    );
    owner.child.kill("SIGKILL");
    assert.equal(await first, "broken");
    const repeat = await complete(other, { prompt, headers });
    scenarioState(this).set(
      "outcome",
      ((await repeat.json()) as { error: { outcome: string } }).error.outcome,
    );
    scenarioState(this).set("prompt", prompt);
  },
);

Then(
  "the repeat is told {string} and the request ran once",
  function (this: object, outcome: string) {
    assert.equal(scenarioState(this).get("outcome"), outcome);
    assert.equal(runsOf(deploymentOf(this), scenarioState(this).get("prompt")), 1);
  },
);

async function holderAmong(boxes: readonly RunningBox[]): Promise<RunningBox | undefined> {
  for (const box of boxes) {
    if ((await statusOf(box)).sessions.length > 0) return box;
  }
  return undefined;
}

When(
  "the holder is frozen until another box holds the pool, then woken, and a model changes its version",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const holder = await holderAmong(deployment.boxes);
    assert.ok(holder);
    const others = deployment.boxes.filter((box) => box !== holder);
    holder.child.kill("SIGSTOP");
    await waitUntil(
      async () => (await holderAmong(others)) !== undefined,
      () => "nobody took over",
    );
    holder.child.kill("SIGCONT");
    const [changed] = (
      await operatorAsk<{ resources: { resource: Resource; revision: number }[] }>(
        others[0],
        "/v1/resources",
      )
    ).resources.filter(({ resource }) => resource.kind === "model" && resource.name === "a");
    await write(others[0], [{ ...changed.resource, version: "2" } as Resource], changed.revision);
  },
);

Then(
  "the new version becomes ready and no stand-in saw a violation",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const everywhere = async () => {
      const statuses = await Promise.all(deployment.boxes.map(statusOf));
      return statuses.every((status) => isReady(status, "a", "2"));
    };
    await waitUntil(everywhere, () => "version 2 did not become ready");
    assert.deepEqual(deployment.violations(), []);
  },
);

When("the log goes down and a new box starts", async function (this: object) {
  const deployment = deploymentOf(this);
  await deployment.post(deployment.logAddress, "/faults", { down: true });
  scenarioState(this).set("box", await deployment.startBox("box-4", "south", times));
});

Then(
  "the new box becomes ready and answers, and after the outage a change is in force on every box",
  async function (this: object) {
    const deployment = deploymentOf(this);
    const box = scenarioState(this).get<RunningBox>("box");
    await deployment.waitUntilReady(box);
    const prompt = "during the outage";
    const answers = async () => (await complete(box, { prompt })).status === 200;
    await waitUntil(answers, () => "the new box did not answer");
    await deployment.post(deployment.logAddress, "/faults", { down: false });
    const revision = await write(box, [account("two")], 0);
    const inForce = async () => {
      const statuses = await Promise.all(deployment.boxes.map(statusOf));
      return statuses.every((status) => status.offset >= revision);
    };
    await waitUntil(inForce, () => "the change did not reach every box");
  },
);

When("every box is killed and three new ones start", async function (this: object) {
  const deployment = deploymentOf(this);
  const killed = [...deployment.boxes];
  for (const box of killed) box.child.kill("SIGKILL");
  await Promise.all(killed.map((box) => box.exited));
  const started: RunningBox[] = [];
  for (const name of ["box-1", "box-2", "box-3"]) {
    started.push(await deployment.startBox(name, "north", times));
  }
  await Promise.all(started.map((box) => deployment.waitUntilReady(box)));
  scenarioState(this).set("started", started);
});

Then(
  "each of the new boxes serves, with every copy where it was, and no stand-in saw a violation",
  async function (this: object) {
    const deployment = deploymentOf(this);
    for (const box of scenarioState(this).get<RunningBox[]>("started")) {
      const serves = async () => (await complete(box, { prompt: "after the kill" })).status === 200;
      await waitUntil(serves, () => "a new box does not serve");
      const seesBothCopies = async () =>
        (await statusOf(box)).models.every((each) => each.ready === 2);
      await waitUntil(seesBothCopies, () => "a new box does not see the copies");
    }
    assert.deepEqual(deployment.violations(), []);
  },
);

/** Sends the signal to the first box while streams run through it, and waits for their ends. */
async function signalUnderStreams(world: object, signal: NodeJS.Signals): Promise<RunningBox> {
  const deployment = deploymentOf(world);
  const [box] = deployment.boxes;
  const prompts = Array.from({ length: 10 }, (_, index) => `stream ${index}`);
  const streams = prompts.map((prompt) =>
    complete(box, { prompt, stream: true }).then(wholeStream),
  );
  await waitUntil(
    () => prompts.every((prompt) => runsOf(deployment, prompt) > 0),
    () => "not all streams began",
  );
  box.child.kill(signal);
  scenarioState(world).set("texts", await Promise.all(streams));
  scenarioState(world).set("prompts", prompts);
  return box;
}

When("a box is stopped while streams run through it", async function (this: object) {
  const box = await signalUnderStreams(this, "SIGTERM");
  scenarioState(this).set("exit", await box.exited);
});

When("a box is told so while streams run through it", async function (this: object) {
  scenarioState(this).set("box", await signalUnderStreams(this, "SIGHUP"));
});

Then("every stream ends whole and the box goes on serving", async function (this: object) {
  const prompts = scenarioState(this).get<string[]>("prompts");
  assert.deepEqual(scenarioState(this).get("texts"), prompts.map(expectedText));
  const answer = await complete(scenarioState(this).get<RunningBox>("box"), {
    prompt: "afterwards",
  });
  assert.equal(answer.status, 200);
});

Then("every stream ends whole and the box exits with 0", function (this: object) {
  const prompts = scenarioState(this).get<string[]>("prompts");
  assert.deepEqual(scenarioState(this).get("texts"), prompts.map(expectedText));
  assert.equal(scenarioState(this).get("exit"), 0);
});

When("the engine of a repeatable stream is killed", async function (this: object) {
  const deployment = deploymentOf(this);
  const prompt = "a long bulletin";
  const stream = complete(deployment.boxes[0], { prompt, stream: true }).then(wholeStream);
  await waitUntil(
    () => runsOf(deployment, prompt) === 1,
    () => "the stream never began",
  );
  const engine = [...deployment.engines.values()].find((each) =>
    each.lines.some((line) => line.prompt === prompt),
  );
  engine?.child.kill("SIGKILL");
  scenarioState(this).set("text", await stream);
  scenarioState(this).set("prompt", prompt);
});

Then("the stream ends whole", function (this: object) {
  assert.equal(scenarioState(this).get("text"), expectedText(scenarioState(this).get("prompt")));
});
