import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { tokenOf } from "./resources.js";
import { worldOf } from "./idle-deployment.js";
import type { World, WorldBox } from "./world.js";

/** Interval between two requests of a caller, unless the answer takes longer. */
const returnIntervalMs = 1_500;

/** Time for started boxes to read the log and load missing models. */
const settleMs = 20_000;

export const requestsByKind: Readonly<
  Record<string, (text: string) => { path: string; body: string }>
> = {
  "a completion": (text) => ({
    path: "/v1/completions",
    body: JSON.stringify({ model: "m0", prompt: text, max_tokens: 4 }),
  }),
  "a call of the service": (text) => ({ path: "/services/feed/notes", body: text }),
};

Given("{string} crashes each target that runs it", function (this: object, text: string) {
  worldOf(this).crashTrigger = text;
});

Given(
  "{int} times {string} crashes each target that runs a prompt which begins with it",
  function (this: object, count: number, text: string) {
    worldOf(this).crashTrigger = text.repeat(count);
  },
);

When(
  "{string} sends {int} completions whose prompts begin with {int} times {string}, no two alike, at all boxes by turns",
  async function (this: object, _account: string, times: number, count: number, text: string) {
    const world = worldOf(this);
    for (let time = 0; time < times; time++) {
      const box = world.boxes[time % world.boxes.length];
      const request = requestsByKind["a completion"](`${text.repeat(count)} and ${time}`);
      scenarioState(this).set("last", await sendAndWait(world, box, "dispatch", request));
    }
  },
);

Then("the last request is answered", function (this: object) {
  assert.equal(scenarioState(this).get<CallerResponse>("last").status, 200);
});

/** Sends a request to a box, then advances the clock by at least `waitMs` until it is answered. */
export async function sendAndWait(
  world: World,
  box: WorldBox,
  account: "dispatch",
  { path, body }: { path: string; body: string },
  waitMs = returnIntervalMs,
): Promise<CallerResponse> {
  const responsePromise = box.box.callers.handle({
    method: "POST",
    path,
    headers: {
      authorization: `Bearer ${tokenOf(account)}`,
      "linkfall-repeatable": "true",
    },
    body: Buffer.from(body),
    signal: new AbortController().signal,
  });
  let answered = false;
  void responsePromise.then(() => (answered = true));
  do await world.clock.runUntil(world.clock.now() + waitMs);
  while (!answered);
  return responsePromise;
}

When(
  /^"(.*)" sends (.*) with "(.*)" (\d+) times, at all boxes by turns$/,
  async function (this: object, account: "dispatch", what: string, text: string, times: string) {
    const world = worldOf(this);
    for (let time = 0; time < Number(times); time++) {
      const box = world.boxes[time % world.boxes.length];
      scenarioState(this).set(
        "last",
        await sendAndWait(world, box, account, requestsByKind[what](text)),
      );
    }
  },
);

When("all boxes are replaced at once", async function (this: object) {
  const world = worldOf(this);
  const names = world.boxes.map(({ name }) => name);
  for (const box of [...world.boxes]) world.removeBox(box);
  for (const name of names) await world.startBox(name);
  await world.clock.runUntil(world.clock.now() + settleMs);
});

Then("at most {int} targets have crashed", function (this: object, maxCrashes: number) {
  const { crashes } = worldOf(this);
  assert.ok(crashes > 0 && crashes <= maxCrashes, `${crashes} targets crashed`);
});

Then(
  "the last request is rejected as not run with {string}",
  function (this: object, code: string) {
    const { status, body } = scenarioState(this).get<CallerResponse>("last");
    const { error } = JSON.parse(Buffer.from(body as Uint8Array).toString("utf8"));
    assert.deepEqual([status, error.code, error.outcome], [503, code, "not_run"]);
  },
);
