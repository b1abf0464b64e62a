import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { CallerResponse, HeaderMap } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { tokenOf } from "./resources.js";
import type { World, WorldBox } from "./world.js";

interface BadInput {
  readonly path?: string;
  readonly body?: string;
  readonly headers?: (box: WorldBox) => HeaderMap;
}

const completion = (changes: object) =>
  JSON.stringify({ model: "m0", prompt: "never run", max_tokens: 4, ...changes });
const notRepeatable = { "linkfall-repeatable": "false" };

const badInputs: Readonly<Record<string, BadInput>> = {
  "a body that is no JSON": { body: "{" },
  "no model": { body: completion({ model: undefined }) },
  "max_tokens of 0": { body: completion({ max_tokens: 0 }) },
  "a model that does not exist": { body: completion({ model: "nothing" }) },
  "the model of another account": { body: completion({ model: "m1" }) },
  "a deadline that is no number": { headers: () => ({ "linkfall-deadline-ms": "soon" }) },
  "a priority of 10": { headers: () => ({ "linkfall-priority": "10" }) },
  "repeatable as maybe": { headers: () => ({ "linkfall-repeatable": "maybe" }) },
  "a path that does not exist": { path: "/v1/nothing" },
  "a service that does not exist": { path: "/services/nothing/at/all" },
  "no token": { headers: () => ({ authorization: "" }) },
  "a token of nobody": { headers: () => ({ authorization: "Bearer nobody" }) },
  "a not repeatable request without a ticket": { headers: () => notRepeatable },
  "a forged ticket of this box": {
    headers: (box) => ({
      ...notRepeatable,
      "linkfall-request-id": `${box.box.incarnation}.1.99999999.${"0".repeat(24)}/1`,
    }),
  },
  "a deadline that nothing can make": { headers: () => ({ "linkfall-deadline-ms": "1" }) },
};

When("{string} sends {string}", async function (this: object, account: "dispatch", input: string) {
  const world = scenarioState(this).get<World>("world");
  const [box] = world.boxes;
  const { path = "/v1/completions", body = completion({}), headers } = badInputs[input];
  const responsePromise = box.box.callers.handle({
    method: "POST",
    path,
    headers: { authorization: `Bearer ${tokenOf(account)}`, ...headers?.(box) },
    body: Buffer.from(body),
    signal: new AbortController().signal,
  });
  await world.clock.runUntil(world.clock.now() + 1_000);
  scenarioState(this).set("response", await responsePromise);
});

Then(
  "it is told {int} {string} and that it did not run",
  function (this: object, status: number, code: string) {
    const response = scenarioState(this).get<CallerResponse>("response");
    const { error } = JSON.parse(Buffer.from(response.body as Uint8Array).toString("utf8"));
    assert.deepEqual([response.status, error.code, error.outcome], [status, code, "not_run"]);
    assert.equal(scenarioState(this).get<World>("world").runs.get("never run"), undefined);
  },
);
