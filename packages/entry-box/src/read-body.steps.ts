import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Given } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import { readBody } from "./read-body.js";

const limits = { maxBytes: 100, timeLimitMs: () => 10_000 };

Given("a server that reads requests as a box that forwards does", async function (this: object) {
  const state = scenarioState(this);
  await new Promise<void>((resolve) => {
    const outcome = new Promise<string>((report) => {
      const server = createServer((message, response) => {
        response.on("error", () => undefined);
        void readBody(systemClock(), message, limits).then(({ kind }) => {
          report(kind);
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
