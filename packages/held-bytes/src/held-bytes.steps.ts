import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, seededRandom, type VirtualClock } from "@linkfall/kernel";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import {
  type BodyHold,
  createHeldBytes,
  createTargetBodies,
  type HeldBytes,
  type ResponseHold,
  type TargetBodies,
} from "./index.js";

interface HeldWorld {
  readonly clock: VirtualClock;
  readonly held: HeldBytes;
  readonly responses: Map<string, ResponseHold>;
  readonly bodies: Map<string, BodyHold>;
  readonly dropped: string[];
  readonly readsOn: Map<string, boolean>;
  readonly resumed: string[];
  readonly ended: string[];
  readonly gaveWay: string[];
  accepted?: boolean;
  refusedBytes: number;
}

const worldOf = (world: object) => scenarioState(world).get<HeldWorld>("held");

Given("a bound of {int} bytes", function (this: object, maxBytes: number) {
  const clock = createVirtualClock();
  scenarioState(this).set("clock", clock);
  scenarioState(this).set("held", {
    clock,
    held: createHeldBytes(clock, seededRandom(1), maxBytes),
    responses: new Map(),
    bodies: new Map(),
    dropped: [],
    readsOn: new Map(),
    resumed: [],
    ended: [],
    gaveWay: [],
    refusedBytes: 0,
  });
});

When(
  "response {string} has {int} unread bytes",
  function (this: object, name: string, bytes: number) {
    const { held, responses, readsOn, resumed, ended } = worldOf(this);
    const hold =
      responses.get(name) ??
      held.holdResponse({
        onRoom: () => void resumed.push(name),
        onEnd: () => void ended.push(name),
      });
    responses.set(name, hold);
    readsOn.set(name, hold.setUnread(bytes));
  },
);

When(
  "{int} bytes of response {string} from {string} are not forwarded yet",
  function (this: object, bytes: number, name: string, target: string) {
    const { held, responses, gaveWay } = worldOf(this);
    const hold =
      responses.get(name) ?? held.holdResponse({ onRoom: () => undefined, onEnd: () => undefined });
    responses.set(name, hold);
    hold.setUnforwarded(bytes, { target, onGiveWay: () => void gaveWay.push(name) });
  },
);

When(
  "{int} bytes of each of {int} responses from {string} are not forwarded yet",
  function (this: object, bytes: number, count: number, target: string) {
    const { held, gaveWay } = worldOf(this);
    for (let index = 0; index < count; index++)
      held
        .holdResponse({ onRoom: () => undefined, onEnd: () => undefined })
        .setUnforwarded(bytes, { target, onGiveWay: () => void gaveWay.push(String(index)) });
  },
);

Then("the responses {string} gave way", function (this: object, names: string) {
  assert.equal(worldOf(this).gaveWay.join(" "), names);
  const { held, gaveWay } = worldOf(this);
  assert.equal(held.summary().droppedUnforwarded, gaveWay.length);
});

When("the caller of response {string} disconnects", function (this: object, name: string) {
  worldOf(this).responses.get(name)?.close();
});

When("the caller of response {string} takes bytes", function (this: object, name: string) {
  worldOf(this).responses.get(name)?.recordTaken();
});

When("{int} ms go by", async function (this: object, ms: number) {
  const clock = scenarioState(this).get<VirtualClock>("clock");
  await clock.runUntil(clock.now() + ms);
});

When(
  "{int} bytes of the incomplete body {string} arrive",
  function (this: object, bytes: number, name: string) {
    const world = worldOf(this);
    const { held, bodies, dropped } = world;
    let body = bodies.get(name);
    if (!body) {
      body = held.holdBody();
      body.allowDrop(() => void dropped.push(name));
      bodies.set(name, body);
    }
    world.accepted = body.add(bytes);
    world.refusedBytes = bytes;
  },
);

When("the body {string} is complete", function (this: object, name: string) {
  worldOf(this).bodies.get(name)?.complete();
});

When("a body of {int} bytes is announced", function (this: object, bytes: number) {
  const world = worldOf(this);
  world.accepted = world.held.holdBody().hasRoom(bytes);
});

Then("the incomplete bodies {string} were dropped", function (this: object, names: string) {
  assert.equal(worldOf(this).dropped.join(" "), names);
});

When("a request body of {int} bytes arrives", function (this: object, bytes: number) {
  const world = worldOf(this);
  world.accepted = world.held.holdBody().add(bytes);
  world.refusedBytes = bytes;
});

When("a request body of {int} bytes arrives and ends", function (this: object, bytes: number) {
  const body = worldOf(this).held.holdBody();
  assert.ok(body.add(bytes));
  body.close();
});

Then(/^response "(.+)" (reads on|does not read on)$/, function (this: object, name, expected) {
  assert.equal(worldOf(this).readsOn.get(name as string), expected === "reads on");
});

Then("response {string} was resumed", function (this: object, name: string) {
  assert.deepEqual(worldOf(this).resumed, [name]);
});

Then("the responses {string} were ended", function (this: object, names: string) {
  assert.equal(worldOf(this).ended.join(" "), names);
});

Then("{int} bytes are held", function (this: object, expected: number) {
  const { bytes } = worldOf(this).held.summary();
  assert.equal(
    Object.values(bytes).reduce((sum, kind) => sum + kind),
    expected,
  );
});

Then(
  "it is refused with a Retry-After from {int} to {int} ms",
  function (this: object, min: number, max: number) {
    const { accepted, held, refusedBytes } = worldOf(this);
    assert.equal(accepted, false);
    const ms = held.retryAfterMs(refusedBytes);
    assert.ok(ms >= min && ms <= max, `${ms} ms`);
  },
);

Then("it is accepted", function (this: object) {
  assert.equal(worldOf(this).accepted, true);
});

Then(
  "after any operations the bytes are those of the open holds, and none remain at the end",
  async () => {
    const maxBytes = 1_000;
    const operation = fc.record({
      kind: fc.constantFrom("body", "unread", "unforwarded", "taken", "close", "wait"),
      index: fc.nat(7),
      bytes: fc.nat(600),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(operation, { minLength: 100, maxLength: 100 }), async (steps) => {
        const clock = createVirtualClock();
        const held = createHeldBytes(clock, seededRandom(1), maxBytes);
        const expected = new Map<string, number>();
        const holds = Array.from({ length: 8 }, (_, index) => ({
          body: held.holdBody(),
          response: held.holdResponse({
            onRoom: () => undefined,
            onEnd: () => {
              expected.delete(`unread ${index}`);
              expected.delete(`unforwarded ${index}`);
            },
          }),
          closed: false,
        }));
        for (const [index, { body }] of holds.entries())
          if (index % 2 === 0) body.allowDrop(() => void expected.delete(`body ${index}`));
        for (const { kind, index, bytes } of steps) {
          const hold = holds[index];
          if (kind === "wait") await clock.runUntil(clock.now() + bytes);
          else if (kind === "taken") hold.response.recordTaken();
          else if (kind === "close") {
            hold.body.close();
            hold.response.close();
            hold.closed = true;
            for (const name of ["body", "unread", "unforwarded"])
              expected.delete(`${name} ${index}`);
          } else if (kind === "body") {
            if (hold.body.add(bytes))
              expected.set(`body ${index}`, (expected.get(`body ${index}`) ?? 0) + bytes);
          } else if (!hold.closed) {
            expected.set(`${kind} ${index}`, bytes);
            if (kind === "unread") hold.response.setUnread(bytes);
            else
              hold.response.setUnforwarded(bytes, {
                target: `t${index % 3}`,
                onGiveWay: () => void expected.delete(`unforwarded ${index}`),
              });
          }
          const sum = Object.values(held.summary().bytes).reduce((total, part) => total + part);
          const wanted = [...expected.values()].reduce((total, part) => total + part, 0);
          assert.equal(sum, wanted);
        }
        for (const { body, response } of holds) {
          body.close();
          response.close();
        }
        const rest = held.summary();
        assert.deepEqual(Object.values(rest.bytes), [0, 0, 0]);
        assert.equal(rest.pausedResponses, 0);
      }),
      { seed: 7, numRuns: 200 },
    );
  },
);

interface BodiesWorld {
  readonly bodies: TargetBodies;
  unsentBytes: number;
  end: () => void;
}

const bodiesOf = (world: object) => scenarioState(world).get<BodiesWorld>("bodies");

Given(
  "a bound of {int} bytes for the bodies of each target",
  function (this: object, maxBytes: number) {
    const clock = createVirtualClock();
    scenarioState(this).set("clock", clock);
    const bodies = createTargetBodies(clock, maxBytes);
    scenarioState(this).set("bodies", { bodies, unsentBytes: 0, end: () => undefined });
  },
);

When(
  "a body of {int} bytes is sent to {string}",
  function (this: object, bytes: number, target: string) {
    const world = bodiesOf(this);
    world.unsentBytes = bytes;
    world.end = world.bodies.begin(target, bytes, () => world.unsentBytes);
  },
);

When("the body has left the box", function (this: object) {
  bodiesOf(this).unsentBytes = 0;
});

When("the request with the body ends", function (this: object) {
  bodiesOf(this).end();
});

Then(
  /^"(.+)" has (room|no room) for (\d+) bytes$/,
  function (this: object, target: string, expected: string, bytes: string) {
    assert.equal(bodiesOf(this).bodies.hasRoom(target, Number(bytes)), expected === "room");
  },
);
