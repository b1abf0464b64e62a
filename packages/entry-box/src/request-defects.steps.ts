import assert from "node:assert/strict";
import { request } from "node:http";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { systemClock } from "@linkfall/kernel";
import { freeAddresses } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";
import { createFront, type Front, respondLocally } from "./front.js";
import { boundForTest } from "./bound-for-test.steps.js";

interface DefectiveFront {
  readonly address: string;
  readonly front: Front;
  readonly defects: unknown[];
}

interface Seen {
  readonly status: number;
  readonly isComplete: boolean;
}

const timeLimitMs = 10_000;
const fronts: Front[] = [];
const handlerMs = 100;
const settlingMs = 50;
const otherCallers = 10;
const defect = new Error("planted");
const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

After({ name: "request-defects" }, () => {
  for (const front of fronts.splice(0)) {
    front.close();
    front.closeAll();
  }
});

Given(
  /^a front whose handler throws for one path (before it responds|after it began to respond)$/,
  async function (this: object, when: string) {
    const [address] = await freeAddresses(1);
    const defects: unknown[] = [];
    const front = createFront({
      address,
      maxHeaderBytes: 16_384,
      clock: systemClock(),
      timeLimitMs: () => timeLimitMs,
      onBodyRejected: () => undefined,
      boundConnections: (server, onMalformed) => boundForTest(server, systemClock(), onMalformed),
      onConnection: () => undefined,
      limits: () => undefined,
      isClosing: () => false,
      async handle({ path, sink }) {
        await sleep(handlerMs);
        if (path !== "/defect") return respondLocally(sink, 200);
        if (when.startsWith("after")) {
          sink.writeHead(200, ["Content-Type", "text/plain"]);
          sink.write(Buffer.from("a part"));
          await sleep(settlingMs);
        }
        throw defect;
      },
      onDefect: (_, problem) => void defects.push(problem),
    });
    fronts.push(front);
    await front.listen();
    scenarioState(this).set("front", { address, front, defects } satisfies DefectiveFront);
  },
);

function ask(address: string, path: string): Promise<Seen> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = request({ host, port, path, agent: false });
    sent.once("error", () => resolve({ status: 0, isComplete: false }));
    sent.once("response", (response) => {
      const end = () =>
        resolve({ status: response.statusCode ?? 0, isComplete: response.complete });
      response.resume();
      response.once("error", end);
      response.once("end", end);
    });
    sent.end();
  });
}

When(
  "a caller asks for that path while 10 others wait for their responses",
  async function (this: object) {
    const { address } = scenarioState(this).get<DefectiveFront>("front");
    const others = Array.from({ length: otherCallers }, () => ask(address, "/sound"));
    scenarioState(this).set("seen", await ask(address, "/defect"));
    scenarioState(this).set("others", await Promise.all(others));
    await sleep(settlingMs);
  },
);

Then(
  /^that caller gets (status 500|a truncated response), and the exception is reported$/,
  function (this: object, outcome: string) {
    const expected =
      outcome === "status 500"
        ? { status: 500, isComplete: true }
        : { status: 200, isComplete: false };
    assert.deepEqual(scenarioState(this).get<Seen>("seen"), expected);
    assert.deepEqual(scenarioState(this).get<DefectiveFront>("front").defects, [defect]);
  },
);

Then("the others get their whole responses", function (this: object) {
  for (const seen of scenarioState(this).get<Seen[]>("others"))
    assert.deepEqual(seen, { status: 200, isComplete: true });
});

Then("no request remains open", function (this: object) {
  assert.equal(scenarioState(this).get<DefectiveFront>("front").front.openRequests().size, 0);
});
