import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { credentials, type ServiceError, status } from "@grpc/grpc-js";
import { systemClock } from "@linkfall/kernel";
import type { Heartbeat } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import { toBeatRequest } from "./convert.js";
import { PeerClient } from "./generated/peer.js";
import { createPeerClient } from "./peer-client.js";

const timeoutMs = 500;
const longTimeout = { timeout: 10_000 };

const heartbeat: Heartbeat = {
  from: {
    box: "b",
    incarnation: "b@1",
    peerAddress: "127.0.0.1:1",
    callerAddress: "127.0.0.1:2",
    domain: "north",
    heartbeat: 1,
    leaving: false,
  },
  members: [],
  summary: { offset: 1, ready: true, logSilentMs: 0 },
};

Then(
  /^every call to the address (".*") has failed as unreachable$/,
  longTimeout,
  async (text: string) => {
    const address = JSON.parse(text) as string;
    const client = createPeerClient(systemClock(), timeoutMs);
    const request = {
      method: "GET",
      path: "/",
      headers: {},
      body: Buffer.alloc(0),
      signal: new AbortController().signal,
    };
    const calls = [
      client.heartbeat(address, heartbeat),
      client.reportUsage(address, { from: "b@1", demand: [], accounts: [] }),
      client.fetchState(address),
      client.forward(address, request),
    ];
    for (const result of await Promise.all<{ isLeft(): boolean }>(calls))
      assert.ok(result.isLeft());
    client.close();
  },
);

const levels = 100_000;
const deepText = "[".repeat(levels) + "]".repeat(levels);

When(
  /^another writer sends it a heartbeat whose records of crashes are (.*)$/,
  longTimeout,
  async function (this: object, text: string) {
    const { address } = scenarioState(this).get<{ readonly address: string }>("pair");
    const client = new PeerClient(address, credentials.createInsecure());
    const call = client.exchange();
    const blame = text === "deep nesting" ? deepText : text;
    const code = await new Promise<number>((resolve) => {
      call.on("error", (problem: ServiceError) => resolve(problem.code));
      call.on("data", () => resolve(status.OK));
      const value = { ...toBeatRequest(heartbeat), blame };
      call.write({ number: 1, body: { $case: "beat", value } });
    });
    call.cancel();
    client.close();
    scenarioState(this).set("code", code);
  },
);

Then("that call has failed as an invalid argument", function (this: object) {
  assert.equal(scenarioState(this).get<number>("code"), status.INVALID_ARGUMENT);
});
