import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import type { Heartbeat } from "@linkfall/ports";
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
