import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { CallerResponse } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { tokenOf } from "./resources.js";
import { worldOf } from "./idle-deployment.js";
import type { World, WorldBox } from "./world.js";

/** Between two returns of a caller, where the answer does not take longer. */
const returnIntervalMs = 1_500;

/** In which boxes that start have read the log and placed what is missing. */
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

Given("{string} ends each target that runs it", function (this: object, text: string) {
  worldOf(this).crashTrigger = text;
});

/** Sends one request through a box and lets time pass until the caller would come again. */
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

Then("no more than {int} targets have ended", function (this: object, most: number) {
  const { crashes } = worldOf(this);
  assert.ok(crashes > 0 && crashes <= most, `${crashes} have ended`);
});

Then(
  "the last one is told {string} and that it did not run",
  function (this: object, code: string) {
    const { status, body } = scenarioState(this).get<CallerResponse>("last");
    const { error } = JSON.parse(Buffer.from(body as Uint8Array).toString("utf8"));
    assert.deepEqual([status, error.code, error.outcome], [503, code, "not_run"]);
  },
);
