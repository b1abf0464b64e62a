import { When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import { createOperatorClient } from "./index.js";

When(
  "the operator's client reads its response {int} times",
  async function (this: object, count: number) {
    const address = scenarioState(this).get<string>("address");
    const client = createOperatorClient({ url: `http://${address}`, token: "token" });
    const outcomes: string[] = [];
    for (let index = 0; index < count; index++) {
      const result = await client.heldRequests();
      outcomes.push(result.isLeft() ? "truncated" : "complete");
    }
    scenarioState(this).set("outcomes", outcomes);
  },
);
