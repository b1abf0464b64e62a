import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { type ForwardedRequest, mayHaveRun, type ResponseSink } from "@linkfall/forwarding";
import { scenarioState } from "@linkfall/test-support";
import { settleQuota } from "./account-admission.js";
import { recordCut } from "./handle-request.js";
import { cutOpenRequest, type OpenRequest } from "./open-requests.js";

interface Scene {
  readonly request: ForwardedRequest;
  readonly open: OpenRequest;
  isCallerGone: boolean;
  isDetached: boolean;
  response?: { readonly status: number; readonly headers: readonly string[] };
}

const sceneOf = (world: object) => scenarioState(world).get<Scene>("cut request");

const progressOf: Readonly<Record<string, object>> = {
  "waits for a target": { possibleRuns: 0, sends: 1, unwrittenSends: 1 },
  "a target may be running": {
    possibleRuns: 0,
    sends: 1,
    unwrittenSends: 0,
    lastSend: { startedAt: 0, mayBeRunning: true },
  },
  "a target may have run": { possibleRuns: 1, sends: 2, unwrittenSends: 1 },
};

Given(
  /^a forwarded request that (waits for a target|a target may be running|a target may have run)$/,
  function (this: object, state: string) {
    const request = progressOf[state] as ForwardedRequest;
    const sink: Partial<ResponseSink> = {
      headersSent: () => scene.response !== undefined,
      isCallerGone: () => scene.isCallerGone,
      detach: () => void (scene.isDetached = true),
      send: (status, headers) => void (scene.response = { status, headers }),
    };
    const open: OpenRequest = {
      path: "/x",
      arrivedAt: 0,
      sink: sink as ResponseSink,
      progress: () => ({ id: "r1", mayHaveRun: mayHaveRun(request), sends: request.sends }),
    };
    const scene: Scene = {
      request: { ...request },
      open,
      isCallerGone: false,
      isDetached: false,
    };
    scenarioState(this).set("cut request", scene);
  },
);

Given("its caller has left", function (this: object) {
  sceneOf(this).isCallerGone = true;
});

When("it is cut as the box has to exit", function (this: object) {
  cutOpenRequest(sceneOf(this).open);
});

Then(
  "its caller gets {int} with the Retry-After {string}",
  function (this: object, status: number, retryAfter: string) {
    const { response, isDetached } = sceneOf(this);
    assert.ok(response);
    assert.equal(response.status, status);
    const position = response.headers.indexOf("Retry-After");
    assert.equal(position < 0 ? "" : response.headers[position + 1], retryAfter);
    assert.ok(isDetached);
  },
);

Then("its caller gets nothing", function (this: object) {
  assert.equal(sceneOf(this).response, undefined);
});

Then(/^the charge of its account is (refunded|kept)$/, function (this: object, expected: string) {
  const { request, open } = sceneOf(this);
  assert.ok(open.cutStatus);
  let refunds = 0;
  const quota = { refund: () => void (refunds += 1), chargeExtra: () => undefined };
  const end = recordCut(request, open.cutStatus);
  settleQuota(quota as never, { units: 7 } as never, request, end);
  assert.equal(refunds, expected === "refunded" ? 1 : 0);
});
