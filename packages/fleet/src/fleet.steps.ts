import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { clockName, createKernel, createVirtualClock, type VirtualClock } from "@linkfall/kernel";
import { loggerName, recordingLogger } from "@linkfall/logger";
import type {
  EngineState,
  EngineInventory,
  ListedTarget,
  ListSource,
  Milliseconds,
} from "@linkfall/types";
import fc from "fast-check";
import { createFleet, type Fleet, hasModelLoaded } from "./index.js";

interface LoggedEvent {
  readonly name: string;
  readonly detail: object;
}

interface Scene {
  readonly clock: VirtualClock;
  readonly fleet: Fleet;
  readonly events: readonly LoggedEvent[];
}

const scenes = new WeakMap<object, Scene>();
const service = "s";
const stepMs = 100;
let lastOffset = 0;

/** The next change of the list; `isContinuous`: whether the store served the list without interruption. */
function nextChange(isContinuous: boolean, readFrom: ListSource["readFrom"] = "store"): ListSource {
  lastOffset += 1;
  return { readFrom, position: { end: lastOffset, generation: 0 }, isContinuous };
}

function sceneOf(world: object): Scene {
  const scene = scenes.get(world);
  assert.ok(scene);
  return scene;
}

const addressOf = (id: string) =>
  `10.0.0.1:${[...id].reduce((sum, char) => sum * 37 + char.charCodeAt(0), 0)}`;

function listed(id: string, leaving = false, born?: Milliseconds): ListedTarget {
  return { id, born, service, address: addressOf(id), domain: "d", slots: 4, leaving };
}

function holdingsOf(
  born: Milliseconds | undefined,
  sequence: number,
  model: string,
): EngineInventory {
  return { born, sequence, models: [{ name: model, version: 1, adapters: [] }] };
}

function stateOf(holdings: EngineInventory): EngineState {
  const idle = { busy: false, waiting: 0, running: 0, cacheTokensUsed: 0 };
  const weights = { inMemory: new Set<string>(), onDisk: new Set<string>(), adaptersComing: [] };
  return { ...holdings, ...idle, ...weights, limit: { kind: "none" }, leaving: false };
}

const idsOf = (text: string) => text.split(" ");

type RandomReport = typeof randomReport extends fc.Arbitrary<infer Value> ? Value : never;

function createScene(): Scene {
  const clock = createVirtualClock();
  const kernel = createKernel();
  const events: LoggedEvent[] = [];
  kernel.provide(clockName, clock);
  kernel.provide(
    loggerName,
    recordingLogger((name, detail) => void events.push({ name, detail })),
  );
  const fleet = createFleet(kernel, {
    lapse: { graceMs: 1_600, minShare: 0.3, returnMs: 2_200 },
    ejection: { consecutiveFailures: 3, initialMs: 1_000, maxMs: 8_000 },
  });
  return { clock, fleet, events };
}

Given("a fleet with targets {string} of one service", function (this: object, ids: string) {
  const scene = createScene();
  scene.fleet.applyList(
    idsOf(ids).map((id) => listed(id)),
    nextChange(true),
  );
  scenes.set(this, scene);
});

When("{string} is listed as leaving", function (this: object, id: string) {
  sceneOf(this).fleet.applyEntry(listed(id, true), nextChange(true));
});

Then(
  "it is logged once that {string} is leaving according to the list",
  function (this: object, target: string) {
    const { events } = sceneOf(this);
    const logged = events.filter(({ name }) => name === "targetLeaving");
    assert.deepEqual(logged, [{ name: "targetLeaving", detail: { target, service } }]);
  },
);

When("{string} is listed as ready", function (this: object, id: string) {
  sceneOf(this).fleet.applyEntry(listed(id), nextChange(true));
});

When(
  "{string} is listed at the address of {string}",
  function (this: object, id: string, other: string) {
    sceneOf(this).fleet.applyEntry({ ...listed(id), address: addressOf(other) }, nextChange(true));
  },
);

When("the entry of {string} disappears", function (this: object, id: string) {
  sceneOf(this).fleet.removeEntry(id, nextChange(true));
});

When(
  "the entries of {string} disappear while the store is unsettled",
  function (this: object, ids: string) {
    for (const id of idsOf(ids)) sceneOf(this).fleet.removeEntry(id, nextChange(false));
  },
);

async function passTime(world: object, ms: number, isListSettled: boolean): Promise<void> {
  const { clock, fleet } = sceneOf(world);
  const end = clock.now() + ms;
  while (clock.now() < end) {
    await clock.runUntil(Math.min(end, clock.now() + stepMs));
    fleet.expireMissing(isListSettled);
  }
}

When("{int} ms pass", function (this: object, ms: number) {
  return passTime(this, ms, true);
});

When("{int} ms pass with the store unavailable", function (this: object, ms: number) {
  return passTime(this, ms, false);
});

function askForRest(world: object, id: string, forMs: Milliseconds): void {
  const { fleet } = sceneOf(world);
  fleet.recordRest({ target: id, born: fleet.find(id)?.born, forMs });
}

When("{string} asks for a rest of {int} ms", function (this: object, id: string, ms: number) {
  askForRest(this, id, ms);
});

When("{string} ask for a rest of {int} ms", function (this: object, ids: string, ms: number) {
  for (const id of idsOf(ids)) askForRest(this, id, ms);
});

When("each target asks for a rest of {int} ms", function (this: object, ms: number) {
  for (const { listed } of sceneOf(this).fleet.all()) askForRest(this, listed.id, ms);
});

function sendTo(world: object, id: string): void {
  const { fleet } = sceneOf(world);
  const target = fleet.find(id);
  assert.ok(target);
  fleet.recordSend(target);
}

When("a request is sent to {string}", function (this: object, id: string) {
  sendTo(this, id);
});

When("{int} requests are sent to {string}", function (this: object, count: number, id: string) {
  for (let index = 0; index < count; index++) sendTo(this, id);
});

Then("no target may get requests", function (this: object) {
  assert.deepEqual(sceneOf(this).fleet.usableTargets(service), []);
});

Then(
  "the first of {int} resting targets accepts requests in {int} ms",
  function (this: object, count: number, ms: number) {
    const resting = sceneOf(this).fleet.restingTargets(service);
    assert.equal(resting.length, count);
    assert.equal(Math.min(...resting.map(({ acceptsInMs }) => acceptsInMs)), ms);
  },
);

When("{string} says in a response that it is leaving", function (this: object, id: string) {
  const { fleet } = sceneOf(this);
  fleet.leavingTargets.record({ target: id, born: fleet.find(id)?.born }, "target");
});

When("{string} are listed as the whole list", function (this: object, ids: string) {
  sceneOf(this).fleet.applyList(
    idsOf(ids).map((id) => listed(id)),
    nextChange(true),
  );
});

When("the whole list is empty", function (this: object) {
  sceneOf(this).fleet.applyList([], nextChange(true));
});

When(
  "{string} are listed as the whole list of a store that has come back",
  function (this: object, ids: string) {
    const position = { end: 1, generation: 1 };
    const source: ListSource = { readFrom: "store", position, isContinuous: false };
    const list = idsOf(ids).map((id) => listed(id));
    sceneOf(this).fleet.applyList(list, source, true);
  },
);

function tellDeparture(world: object, target: string, end: number): void {
  const departure = { target, position: { end, generation: 0 } };
  sceneOf(world).fleet.applyDepartures("b2@1", { number: 1, departures: [departure] });
}

When(
  "another box sends the departure of {string} at the next change of the list",
  function (this: object, id: string) {
    lastOffset += 1;
    tellDeparture(this, id, lastOffset);
  },
);

When(
  "another box sends the departure of {string} at an earlier change of the list",
  function (this: object, id: string) {
    tellDeparture(this, id, lastOffset - 1);
  },
);

When(
  "{string} reports itself as incarnation {int} and that it is leaving",
  function (this: object, id: string, born: number) {
    const state = { ...stateOf(holdingsOf(born, 1, "m")), leaving: true };
    sceneOf(this).fleet.applyState(id, state, 0);
  },
);

When("{string} fails {int} times", function (this: object, id: string, times: number) {
  for (let index = 0; index < times; index++) sceneOf(this).fleet.recordFailure(id, "test");
});

When("a connection to {string} is refused", function (this: object, id: string) {
  sceneOf(this).fleet.recordUnreachable(id, "test");
});

When(
  "{int} connections to {string} are not established",
  function (this: object, times: number, id: string) {
    for (let index = 0; index < times; index++)
      sceneOf(this).fleet.recordConnectFailure(id, "test");
  },
);

When(
  "connections that failed in the last {int} ms are forgotten",
  function (this: object, ms: number) {
    const { clock, fleet } = sceneOf(this);
    fleet.forgetConnectFailures(clock.now() - ms);
  },
);

When(
  "{string} reports after {int} orders that it has loaded {string}",
  function (this: object, id: string, sequence: number, model: string) {
    const models = [{ name: model, version: 1, adapters: [] }];
    sceneOf(this).fleet.applyRelayedHoldings(id, { sequence, models });
  },
);

When(
  "{string} is about to be unloaded at {string}",
  function (this: object, model: string, id: string) {
    sceneOf(this).fleet.setWithheldModels(new Map([[id, [model]]]));
  },
);

When(
  "{string} refuses to serve {string} for {int} ms",
  function (this: object, id: string, model: string, ms: number) {
    sceneOf(this).fleet.recordModelRefusal(id, model, ms);
  },
);

When("{string} refuses to serve {string}", function (this: object, id: string, model: string) {
  sceneOf(this).fleet.recordModelRefusal(id, model);
});

Then("{string} may get requests", function (this: object, ids: string) {
  const usable = sceneOf(this).fleet.usableTargets(service);
  assert.deepEqual(
    usable.map((target) => target.listed.id),
    idsOf(ids),
  );
});

function isLoaded(world: object, id: string, model: string): boolean {
  const { fleet, clock } = sceneOf(world);
  const target = fleet.find(id);
  assert.ok(target);
  return hasModelLoaded(target, model, undefined, clock.now());
}

Then(
  "{string} is known to have {string} and not {string}",
  function (this: object, id: string, model: string, other: string) {
    assert.ok(isLoaded(this, id, model));
    assert.ok(!isLoaded(this, id, other));
  },
);

Then("{string} is known to have {string}", function (this: object, id: string, model: string) {
  assert.ok(isLoaded(this, id, model));
});

Then("{string} is known not to have {string}", function (this: object, id: string, model: string) {
  assert.ok(!isLoaded(this, id, model));
});

Given(
  "another box reports that {string} of incarnation {int} has, after {int} orders, loaded {string}",
  function (this: object, id: string, born: number, sequence: number, model: string) {
    sceneOf(this).fleet.applyRelayedHoldings(id, holdingsOf(born, sequence, model));
  },
);

When(
  "{string} reports itself as incarnation {int} and after {int} orders that it has loaded {string}",
  function (this: object, id: string, born: number, sequence: number, model: string) {
    sceneOf(this).fleet.applyState(id, stateOf(holdingsOf(born, sequence, model)), 0);
  },
);

When(
  "{string} is listed with incarnation {int}",
  function (this: object, id: string, born: number) {
    sceneOf(this).fleet.applyEntry(listed(id, false, born), nextChange(true));
  },
);

When(
  "{string} is listed as leaving with incarnation {int}",
  function (this: object, id: string, born: number) {
    sceneOf(this).fleet.applyEntry(listed(id, true, born), nextChange(true));
  },
);

When("the entries of {string} can't be read", function (this: object, ids: string) {
  for (const id of idsOf(ids)) sceneOf(this).fleet.excludeUnreadable(id);
});

/** One report in a random history of a target. */
const randomReport = fc.record({
  kind: fc.constantFrom("list", "own_word", "told"),
  /** For a relayed report: how many incarnations and orders it is outdated by, at most. */
  incarnationsAgo: fc.nat(3),
  ordersAgo: fc.nat(3),
  /** What happens at the target before the report. */
  before: fc.constantFrom("nothing", "order", "restart"),
});

/** Plays a history with growing start times; returns the fleet's final holdings and the actual ones. */
async function playHistory(
  reports: readonly RandomReport[],
): Promise<readonly [EngineInventory, EngineInventory]> {
  const { fleet, clock } = createScene();
  const incarnations: EngineInventory[][] = [[holdingsOf(1_000, 0, "m0")]];
  const last = () =>
    incarnations[incarnations.length - 1][incarnations[incarnations.length - 1].length - 1];
  fleet.applyList([listed("t", false, 1_000)], nextChange(true));
  const report = ({ kind, incarnationsAgo, ordersAgo }: RandomReport) => {
    if (kind === "list") return fleet.applyEntry(listed("t", false, last().born), nextChange(true));
    if (kind === "own_word") return fleet.applyState("t", stateOf(last()), 0);
    const incarnation = incarnations[Math.max(0, incarnations.length - 1 - incarnationsAgo)];
    fleet.applyRelayedHoldings("t", incarnation[Math.max(0, incarnation.length - 1 - ordersAgo)]);
  };
  for (const event of reports) {
    const { born = 0, sequence } = last();
    if (event.before === "order") {
      incarnations[incarnations.length - 1].push(
        holdingsOf(born, sequence + 1, `m${incarnations.length}-${sequence + 1}`),
      );
    }
    if (event.before === "restart")
      incarnations.push([holdingsOf(born + 1_000, 0, `m${incarnations.length}`)]);
    await clock.runUntil(clock.now() + 1);
    const known = fleet.find("t")?.born ?? 0;
    report(event);
    assert.ok((fleet.find("t")?.born ?? 0) >= known, "went back to an earlier incarnation");
  }
  await clock.runUntil(clock.now() + 1);
  fleet.applyState("t", stateOf(last()), 0);
  const target = fleet.find("t");
  assert.ok(target);
  return [target.holdings, last()];
}

Then(
  "of {int} random histories each ends with the holdings of the last incarnation",
  async (numRuns: number) => {
    const history = fc.asyncProperty(fc.array(randomReport, { maxLength: 12 }), async (reports) => {
      const [actual, expected] = await playHistory(reports);
      assert.deepEqual(actual, expected);
    });
    await fc.assert(history, { seed: 32, numRuns });
  },
);
