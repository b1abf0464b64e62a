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
const limits = { retentionMs, entries: 2, answerBytes: 100 };

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
    const office = createTicketIssuer(clock, "b@aa", "secret", lifetimeMs);
    const memory = createOnceMemory(clock, office, limits);
    scenarioState(this).set("owner", { clock, memory, ticket: office.issue(account).id, runs: 0 });
  },
);

function idOf(owner: Owner, suffix: string): OnceId {
  const id = parseOnceId(`${owner.ticket}/${suffix}`);
  assert.ok(id);
  return id;
}

/** Parts that come one after the other, 10 ms apart. */
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

When("the same request comes 3 times, the last after it has ended", async function (this: object) {
  const owner = ownerOf(this);
  const early = [run(owner, "r"), run(owner, "r")].map(async (each) => readAll(await each));
  await owner.clock.runUntil(100);
  const late = readAll(await run(owner, "r"));
  scenarioState(this).set("texts", await Promise.all([...early, late]));
});

Then("it ran once and all 3 got the whole answer", function (this: object) {
  assert.equal(ownerOf(this).runs, 1);
  assert.deepEqual(scenarioState(this).get("texts"), Array(3).fill("whole answer"));
});

When(
  "a caller reads half of an answer and goes, and the request comes again",
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

Then("it ran once and the repeat got the whole answer", function (this: object) {
  assert.equal(ownerOf(this).runs, 1);
  assert.deepEqual(scenarioState(this).get("texts"), ["whole answer"]);
});

When("a request is refused as not run and comes again", async function (this: object) {
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
  "account {string} sends a request under the ticket",
  async function (this: object, account: string) {
    scenarioState(this).set("answer", await run(ownerOf(this), "r", [], account));
  },
);

When("a request comes under a ticket with another seal", async function (this: object) {
  const owner = ownerOf(this);
  const id = { ...idOf(owner, "r"), seal: "0".repeat(24) };
  scenarioState(this).set(
    "answer",
    await owner.memory.run(id, "one", async () => jsonResponse({})),
  );
});

When(
  "a request comes for the first time after the ticket has ended",
  async function (this: object) {
    const owner = ownerOf(this);
    await owner.clock.runUntil(lifetimeMs + 1);
    scenarioState(this).set("answer", await run(owner, "r"));
  },
);

When("a request comes after the time for which runs are remembered", async function (this: object) {
  const owner = ownerOf(this);
  await owner.clock.runUntil(lifetimeMs + retentionMs + 1);
  scenarioState(this).set("answer", await run(owner, "r"));
});

When("3 different requests come", async function (this: object) {
  const owner = ownerOf(this);
  await run(owner, "r1");
  await run(owner, "r2");
  scenarioState(this).set("answer", await run(owner, "r3"));
});

When(
  "an answer larger than the memory for answers has ended and the request comes again",
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
