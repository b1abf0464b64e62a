import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Given, Then, When } from "@cucumber/cucumber";
import { createHeldBytes } from "@linkfall/held-bytes";
import { seededRandom, systemClock } from "@linkfall/kernel";
import { type EndingKind, scenarioState, sendBrokenRequest } from "@linkfall/test-support";
import { readBody } from "./read-request.js";

const held = createHeldBytes(systemClock(), seededRandom(1), 1_000_000);
const limits = { maxBodyBytes: 100, maxHeaderBytes: 1_000, bodyTimeoutMs: 2_000 };

Given("a server that reads requests as a box's front does", async function (this: object) {
  const state = scenarioState(this);
  await new Promise<void>((resolve) => {
    const outcome = new Promise<string>((report) => {
      const server = createServer((message, response) => {
        response.on("error", () => undefined);
        void readBody(systemClock(), message, limits, held, held.holdBody()).then((body) => {
          report(body.isRight() ? "complete" : "aborted");
          server.close();
        });
      });
      server.listen(0, "127.0.0.1", () => {
        state.set("port", (server.address() as AddressInfo).port);
        resolve();
      });
    });
    state.set("outcome", outcome);
  });
});

When(
  /^a request framed by (length|chunked) is broken off in its body, with "(.*)"$/,
  function (this: object, framing: "length" | "chunked", kind: EndingKind) {
    sendBrokenRequest(scenarioState(this).get<number>("port"), framing, kind);
  },
);

Then("its body is not complete", async function (this: object) {
  assert.equal(await scenarioState(this).get<Promise<string>>("outcome"), "aborted");
});
