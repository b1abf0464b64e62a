import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { Given, Then, When } from "@cucumber/cucumber";
import type { PeerUnreachable } from "@linkfall/errors";
import { createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import type { Either } from "purify-ts";
import { createRequestStream, type NumberedMessage, type RequestStream } from "./index.js";

const timeoutMs = 400;

interface Pair {
  readonly clock: VirtualClock;
  readonly stream: RequestStream<string, string>;
  readonly closed: string[];
  readonly replies: Map<string, Either<PeerUnreachable, string>>;
}

const pairOf = (world: object) => scenarioState(world).get<Pair>("unknown messages");

type Reply = (message: NumberedMessage<string>, send: (reply: object) => void) => void;

/** Connects to a box that replies as given. */
function connectTo(world: object, clock: VirtualClock, reply: Reply): void {
  const closed: string[] = [];
  const dial = () => {
    const events = new EventEmitter();
    const stream = Object.assign(events, {
      cancel: () => undefined,
      write: (message: NumberedMessage<string>) =>
        reply(message, (answer) => void events.emit("data", answer)),
    });
    return { stream: stream as never, close: () => void closed.push("closed") };
  };
  const stream = createRequestStream<string, string>(clock, timeoutMs, dial);
  scenarioState(world).set("unknown messages", { clock, stream, closed, replies: new Map() });
}

Given(
  "a box of an earlier version, which replies to {string} only",
  function (this: object, known: string) {
    connectTo(this, createVirtualClock(), ({ number, body }, send) => {
      const reply = body === known ? { number, body } : { number };
      queueMicrotask(() => send(reply));
    });
  },
);

Given(
  "a box that replies to {string} after {int} ms and to others after {int} ms",
  function (this: object, slow: string, slowMs: number, otherMs: number) {
    const clock = createVirtualClock();
    connectTo(this, clock, (message, send) => {
      clock.after(message.body === slow ? slowMs : otherMs, () => send(message));
    });
  },
);

When("{string} is sent {int} ms later", async function (this: object, body: string, ms: number) {
  const { clock, stream, replies } = pairOf(this);
  await clock.runUntil(clock.now() + ms);
  void stream.request(body).then((reply) => replies.set(body, reply));
});

Then(
  "after {int} ms {string} has failed, and {string} and {string} have answers",
  async function (this: object, ms: number, failed: string, one: string, other: string) {
    const { clock, replies } = pairOf(this);
    await clock.runUntil(clock.now() + ms);
    assert.equal(replies.get(failed)?.isLeft(), true);
    for (const answered of [one, other]) assert.equal(replies.get(answered)?.extract(), answered);
  },
);

Then("the connection is closed after {int} ms", async function (this: object, ms: number) {
  const { clock, closed } = pairOf(this);
  await clock.runUntil(clock.now() + ms);
  assert.deepEqual(closed, ["closed"]);
});

When("{string} and {string} are sent", async function (this: object, one: string, other: string) {
  const { clock, stream, replies } = pairOf(this);
  for (const body of [one, other]) {
    void stream.request(body).then((reply) => replies.set(body, reply));
  }
  await clock.runUntil(clock.now() + 1);
});

Then(
  "{string} has failed at once, and {string} has an answer",
  function (this: object, failed: string, answered: string) {
    const { replies } = pairOf(this);
    assert.equal(replies.get(failed)?.isLeft(), true);
    assert.equal(replies.get(answered)?.extract(), answered);
  },
);

Then("the connection is still open after {int} ms", async function (this: object, ms: number) {
  const { clock, closed } = pairOf(this);
  await clock.runUntil(clock.now() + ms);
  assert.deepEqual(closed, []);
});
