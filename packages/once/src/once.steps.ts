import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import type { BodyPart, CallerResponse } from "@linkfall/ports";
import { jsonResponse, notRun, refusalResponse } from "@linkfall/refusals";
import { scenarioState } from "@linkfall/test-support";
import { Right } from "purify-ts";
import { createOnceMemory, type OnceMemory } from "./once-memory.js";
import { createTicketIssuer, type OnceId, parseOnceId } from "./tickets.js";

const lifetimeMs = 1_000;
const retentionMs = 5_000;
const limits = { retentionMs, maxEntries: 2, maxAnswerBytes: 100 };

interface Owner {
  readonly clock: VirtualClock;
  readonly memory: OnceMemory;
  readonly ticket: string;
  runs: number;
}

const ownerOf = (world: object) => scenarioState(world).get<Owner>("owner");

Given(
  "the owner of a ticket of account {string} with room for 2 requests",
  function (this: object, account: string) {
    const clock = createVirtualClock();
    const tickets = createTicketIssuer(clock, "b@aa", "secret", lifetimeMs);
    const memory = createOnceMemory(clock, tickets, limits);
    scenarioState(this).set("owner", { clock, memory, ticket: tickets.issue(account).id, runs: 0 });
  },
);

function idOf(owner: Owner, suffix: string): OnceId {
  const id = parseOnceId(`${owner.ticket}/${suffix}`);
  assert.ok(id);
  return id;
}

/** Yields the texts as body parts, 10 ms apart. */
async function* slowParts(clock: VirtualClock, texts: readonly string[]): AsyncGenerator<BodyPart> {
  for (const text of texts) {
    await new Promise<void>((resolve) => clock.after(10, resolve));
    yield Right(Buffer.from(text));
  }
}

function run(owner: Owner, suffix: string, texts = ["whole ", "answer"], account = "one") {
  return owner.memory.run(idOf(owner, suffix), account, async () => {
    owner.runs += 1;
    return { status: 200, headers: {}, body: slowParts(owner.clock, texts) };
  });
}

async function readAll(response: CallerResponse): Promise<string> {
  if (response.body instanceof Uint8Array) return Buffer.from(response.body).toString("utf8");
  let text = "";
  for await (const part of response.body) text += Buffer.from(part.unsafeCoerce()).toString("utf8");
  return text;
}

When(
  "the same request arrives 3 times, the last time after it has finished",
  async function (this: object) {
    const owner = ownerOf(this);
    const early = [run(owner, "r"), run(owner, "r")].map(async (each) => readAll(await each));
    await owner.clock.runUntil(100);
    const late = readAll(await run(owner, "r"));
    scenarioState(this).set("texts", await Promise.all([...early, late]));
  },
);

Then("it ran once and all 3 got the complete response", function (this: object) {
  assert.equal(ownerOf(this).runs, 1);
  assert.deepEqual(scenarioState(this).get("texts"), Array(3).fill("whole answer"));
});

When(
  "a caller disconnects halfway through the response, and the request arrives again",
  async function (this: object) {
    const owner = ownerOf(this);
    const first = await run(owner, "r");
    const parts = (first.body as AsyncIterable<BodyPart>)[Symbol.asyncIterator]();
    const half = parts.next();
    await owner.clock.runUntil(15);
    await half;
    await parts.return?.();
    await owner.clock.runUntil(100);
    scenarioState(this).set("texts", [await readAll(await run(owner, "r"))]);
  },
);

Then("it ran once and the retry got the complete response", function (this: object) {
  assert.equal(ownerOf(this).runs, 1);
  assert.deepEqual(scenarioState(this).get("texts"), ["whole answer"]);
});

When("a request is refused as not run and arrives again", async function (this: object) {
  const owner = ownerOf(this);
  const execute = async () => {
    owner.runs += 1;
    return refusalResponse(notRun("no_replica", "none"));
  };
  await owner.memory.run(idOf(owner, "r"), "one", execute);
  await owner.memory.run(idOf(owner, "r"), "one", execute);
});

Then("it ran {int} times", function (this: object, times: number) {
  assert.equal(ownerOf(this).runs, times);
});

When(
  "account {string} sends a request with the ticket",
  async function (this: object, account: string) {
    scenarioState(this).set("answer", await run(ownerOf(this), "r", [], account));
  },
);

When("a request arrives with a forged ticket signature", async function (this: object) {
  const owner = ownerOf(this);
  const id = { ...idOf(owner, "r"), signature: "0".repeat(24) };
  scenarioState(this).set(
    "answer",
    await owner.memory.run(id, "one", async () => jsonResponse({})),
  );
});

When(
  "a request arrives for the first time after its ticket has expired",
  async function (this: object) {
    const owner = ownerOf(this);
    await owner.clock.runUntil(lifetimeMs + 1);
    scenarioState(this).set("answer", await run(owner, "r"));
  },
);

When("a request arrives after the retention time", async function (this: object) {
  const owner = ownerOf(this);
  await owner.clock.runUntil(lifetimeMs + retentionMs + 1);
  scenarioState(this).set("answer", await run(owner, "r"));
});

When("3 different requests arrive", async function (this: object) {
  const owner = ownerOf(this);
  await run(owner, "r1");
  await run(owner, "r2");
  scenarioState(this).set("answer", await run(owner, "r3"));
});

When(
  "a response larger than the response memory has finished and its request arrives again",
  async function (this: object) {
    const owner = ownerOf(this);
    await run(owner, "r", ["x".repeat(101)]);
    await owner.clock.runUntil(100);
    scenarioState(this).set("answer", await run(owner, "r"));
  },
);

async function assertRefused(world: object, outcome: string, code: string): Promise<void> {
  const { error } = JSON.parse(await readAll(scenarioState(world).get<CallerResponse>("answer")));
  assert.deepEqual([error.outcome, error.code], [outcome, code]);
}

Then(
  "it is refused as {string} with {string}",
  async function (this: object, outcome: string, code: string) {
    await assertRefused(this, outcome, code);
  },
);

Then(
  "the last is refused as {string} with {string} and the first is still remembered",
  async function (this: object, outcome: string, code: string) {
    await assertRefused(this, outcome, code);
    const owner = ownerOf(this);
    await run(owner, "r1");
    assert.equal(owner.runs, 2);
  },
);
