import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { account, model, scenarioState, pool } from "@linkfall/test-support";
import type { Change, LogEntry, StateRecord } from "@linkfall/types";
import fc from "fast-check";
import { applyEntry, type FoldEvent } from "./apply.js";
import { createSnapshotCollector, parseState, serialiseState, splitSnapshot } from "./snapshot.js";
import { emptyState, type FoldedState } from "./state.js";

/** A log with the state folded from it. */
class FoldedLog {
  readonly entries: LogEntry[] = [];
  readonly state = emptyState();

  append(record: StateRecord | string): readonly FoldEvent[] {
    const data = typeof record === "string" ? record : JSON.stringify(record);
    const entry = { offset: this.entries.length + 1, data };
    this.entries.push(entry);
    return applyEntry(this.state, entry);
  }

  write(id: string, changes: readonly Change[]): readonly FoldEvent[] {
    return this.append({ type: "write", id, who: `writer of ${id}`, at: "", changes });
  }
}

const change = (name: string, base: number, version: string): Change => ({
  action: "put",
  resource: model(name, { version }),
  base,
});

Given("a log in which {string} was written at revision 2", function (this: object, _key: string) {
  const log = new FoldedLog();
  log.write("b@1#1", [
    { action: "put", resource: account("one"), base: 0 },
    { action: "put", resource: pool(), base: 0 },
  ]);
  log.write("b@1#2", [change("a", 0, "1")]);
  scenarioState(this).set("log", log);
  scenarioState(this).set("before", serialiseState(log.state));
});

const logOf = (world: object) => scenarioState(world).get<FoldedLog>("log");
const versionOfA = (state: FoldedState) => {
  const stored = state.resources.get("model/a")?.resource;
  return stored?.kind === "model" ? stored.version : undefined;
};

When("two operators write {string} based on revision 2", function (this: object, _key: string) {
  const log = logOf(this);
  scenarioState(this).set("first", log.write("b@1#3", [change("a", 2, "2")]));
  scenarioState(this).set("second", log.write("c@1#1", [change("a", 2, "3")]));
});

Then(
  "the first write is accepted and the second is rejected with both revisions",
  function (this: object) {
    const [first] = scenarioState(this).get<FoldEvent[]>("first");
    const [second] = scenarioState(this).get<FoldEvent[]>("second");
    assert.equal(first.type, "write_accepted");
    assert.ok(second.type === "write_rejected" && second.why.kind === "revision_conflict");
    assert.deepEqual([second.why.base, second.why.current], [2, 3]);
    assert.equal(second.why.who, "writer of b@1#3");
    assert.equal(versionOfA(logOf(this).state), "2");
  },
);

When("the last record is appended again", function (this: object) {
  const log = logOf(this);
  scenarioState(this).set("events", log.append(log.entries[log.entries.length - 1].data));
});

When("an earlier record of the same writer arrives late", function (this: object) {
  scenarioState(this).set("events", logOf(this).write("b@1#1", [change("late", 0, "1")]));
});

Then(/^the (?:second copy|late record) does nothing$/, function (this: object) {
  assert.deepEqual(scenarioState(this).get("events"), []);
  assert.equal(logOf(this).state.resources.size, 3);
});

When(
  "records are appended that are not JSON, not an object, or of an unknown type",
  function (this: object) {
    const bad = ["", "{", "[]", "null", '{"type":"write"}', '{"type":"other","id":"x@1#1"}'];
    scenarioState(this).set(
      "events",
      bad.flatMap((data) => [...logOf(this).append(data)]),
    );
  },
);

Then("each is reported as a bad record and the state is unchanged", function (this: object) {
  const events = scenarioState(this).get<FoldEvent[]>("events");
  assert.deepEqual(
    events.map((event) => event.type),
    Array(6).fill("bad_record"),
  );
  const { state } = logOf(this);
  assert.equal(serialiseState({ ...state, offset: 2 }), scenarioState(this).get("before"));
});

When(
  "a write changes {string} and names a pool that does not exist",
  function (this: object, _key: string) {
    const invalid = model("b", { pool: "nowhere" });
    const changes: Change[] = [change("a", 2, "9"), { action: "put", resource: invalid, base: 0 }];
    scenarioState(this).set("events", logOf(this).write("b@1#3", changes));
  },
);

Then(
  "the write is rejected with the field and the reason, and {string} is unchanged",
  function (this: object, _key: string) {
    const [event] = scenarioState(this).get<FoldEvent[]>("events");
    assert.ok(event.type === "write_rejected" && event.why.kind === "invalid_input");
    assert.deepEqual(event.why.problems, [
      { field: "model/b.pool", reason: 'there is no pool "nowhere"' },
    ]);
    assert.equal(versionOfA(logOf(this).state), "1");
  },
);

/** Histories of writes, claims, renewals and bad records by a few writers, some of them duplicated. */
const histories = fc.array(
  fc.record({
    writer: fc.constantFrom("b@1", "c@1", "d@1"),
    kind: fc.constantFrom("write", "claim", "renew", "bad"),
    base: fc.integer({ min: 0, max: 12 }),
    repeated: fc.boolean(),
  }),
  { minLength: 1, maxLength: 40 },
);

type Step = { writer: string; kind: string; base: number; repeated: boolean };

function recordOf({ writer, kind, base }: Step, number: number): StateRecord | string {
  const id = `${writer}#${number}`;
  if (kind === "write") {
    return { type: "write", id, who: writer, at: "", changes: [change("a", base, String(number))] };
  }
  if (kind === "claim") {
    return { type: "claim", id, pool: "p", holder: writer, supersedes: base, leaseMs: 10 };
  }
  if (kind === "renew") return { type: "renew", id, holder: writer, epochs: [base] };
  return "bad";
}

Then(
  "for any history of records, a box that starts from a snapshot or reads duplicates reaches the same state",
  () => {
    fc.assert(
      fc.property(histories, fc.nat(), (steps, cutSeed) => {
        const log = new FoldedLog();
        log.write("a@1#1", [
          { action: "put", resource: account("one"), base: 0 },
          { action: "put", resource: pool(), base: 0 },
        ]);
        steps.forEach((step, index) => {
          const record = recordOf(step, index + 1);
          log.append(record);
          if (step.repeated)
            assert.ok(typeof record === "string" || log.append(record).length === 0);
        });
        const partial = emptyState();
        const at = cutSeed % log.entries.length;
        for (const entry of log.entries.slice(0, at)) applyEntry(partial, entry);
        const restored = parseState(serialiseState(partial)).unsafeCoerce();
        for (const entry of log.entries.slice(at)) applyEntry(restored, entry);
        assert.equal(serialiseState(restored), serialiseState(log.state));
      }),
      { seed: 7, numRuns: 300 },
    );
  },
);

When("an incomplete snapshot of it is read, and then a complete one", function (this: object) {
  const { state } = logOf(this);
  const parts = (name: string) =>
    splitSnapshot(state, name, 100).map((part, index) => ({
      offset: 10 + index,
      data: JSON.stringify({ type: "snapshot", id: `b@1#${index + 5}`, ...part }),
    }));
  const collector = createSnapshotCollector();
  const incomplete = parts("incomplete")
    .slice(0, -1)
    .map((entry) => collector.add(entry, 0));
  const complete = parts("complete").map((entry) => collector.add(entry, 0));
  scenarioState(this).set(
    "incomplete",
    incomplete.filter((state) => state !== undefined),
  );
  scenarioState(this).set(
    "complete",
    complete.filter((state) => state !== undefined),
  );
});

Then("only the complete one is used", function (this: object) {
  assert.equal(scenarioState(this).get<unknown[]>("incomplete").length, 0);
  const [state] = scenarioState(this).get<FoldedState[]>("complete");
  assert.equal(serialiseState(state), serialiseState(logOf(this).state));
});

const claim = (holder: string, number: number, supersedes: number): StateRecord => ({
  type: "claim",
  id: `${holder}#${number}`,
  pool: "p",
  holder,
  supersedes,
  leaseMs: 10,
});

Given("a lease that was renewed after a competing box read it", function (this: object) {
  const log = new FoldedLog();
  log.append(claim("b@1", 1, 0));
  log.append({ type: "renew", id: "b@1#2", holder: "b@1", epochs: [1] });
  scenarioState(this).set("log", log);
});

When("the competing box claims it based on what it had read", function (this: object) {
  scenarioState(this).set("events", logOf(this).append(claim("c@1", 1, 1)));
});

Then("the claim is rejected and the holder keeps its epoch", function (this: object) {
  assert.equal(scenarioState(this).get<FoldEvent[]>("events")[0].type, "claim_rejected");
  assert.equal(logOf(this).state.leases.get("p")?.epoch, 1);
});

When("another box claims it and the former holder's intent arrives", function (this: object) {
  const log = logOf(this);
  log.append(claim("c@1", 1, 2));
  const order = {
    kind: "load",
    id: "o",
    engine: "e",
    engineIncarnation: "e-1",
    epoch: 1,
    cause: "reachability",
    artifact: "model:a@1",
    accelerator: 0,
    sizeMb: 1,
  } as const;
  const intent = { type: "intent", id: "b@1#3", pool: "p", epoch: 1, orders: [order] } as const;
  scenarioState(this).set("events", log.append(intent));
});

Then("the intent is not accepted", function (this: object) {
  const [event] = scenarioState(this).get<FoldEvent[]>("events");
  assert.ok(event.type === "intent_recorded" && !event.accepted);
  assert.equal(logOf(this).state.intents.size, 0);
});

When(
  "two boxes hold the request {string} back, one of them releases it, and an older decision arrives late",
  function (this: object, request: string) {
    const log = logOf(this);
    const common = { request, service: "s", route: "r", targets: ["e1", "e2"], since: "" };
    const decide = (id: string, revision: number, held: boolean) =>
      log.append({ type: "held", id, word: { ...common, revision, held } });
    decide("b@1#3", 1, true);
    decide("c@1#1", 1, true);
    decide("c@1#2", 2, false);
    decide("d@1#1", 1, true);
  },
);

Then(
  "{string} is released in the state and in a snapshot of it",
  function (this: object, request: string) {
    const { state } = logOf(this);
    const restored = parseState(serialiseState(state)).unsafeCoerce();
    for (const { heldRequests } of [state, restored]) {
      assert.deepEqual(
        [heldRequests.get(request)?.held, heldRequests.get(request)?.revision],
        [false, 2],
      );
    }
  },
);
