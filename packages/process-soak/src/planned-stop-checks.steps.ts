import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import {
  checkAnsweredAroundStops,
  checkEndsWithinGrace,
  checkTakesOnlyWhatFits,
  type ConnectionRequest,
  type Disruption,
  type Finding,
  type PlannedStop,
  plannedStops,
  type ProcessEvent,
  processDisruptions,
  type TargetRun,
} from "./index.js";

interface ScenarioState {
  graceMs: number;
  readonly stops: PlannedStop[];
  readonly requests: ConnectionRequest[];
  readonly runs: TargetRun[];
  readonly disruptions: Disruption[];
  readonly history: ProcessEvent[];
}

const states = new WeakMap<object, ScenarioState>();

function stateOf(world: object): ScenarioState {
  const state = states.get(world) ?? {
    graceMs: 0,
    stops: [],
    requests: [],
    runs: [],
    disruptions: [],
    history: [],
  };
  states.set(world, state);
  return state;
}

const request = { incarnation: 1, kind: "unsafe", timeLimitMs: 800 };
const stop = { incarnation: 1, pausedMs: 0, wasKilled: false };

Given(
  "a grace period of {int} ms, and a SIGTERM to {string} at {int} ms after which it ends at {int} ms",
  function (this: object, graceMs: number, box: string, at: number, endedAt: number) {
    const state = stateOf(this);
    state.graceMs = graceMs;
    state.stops.push({ ...stop, box, at, endedAt });
  },
);

Given(
  "a SIGTERM to {string} at {int} ms after which it ends at {int} ms",
  function (this: object, box: string, at: number, endedAt: number) {
    stateOf(this).stops.push({ ...stop, box, at, endedAt });
  },
);

Given(
  "a request {string} to {string}, sent at {int} ms and whole at {int} ms, whose connection ended at {int} ms",
  function (
    this: object,
    id: string,
    box: string,
    sentAt: number,
    wholeAt: number,
    endedAt: number,
  ) {
    stateOf(this).requests.push({ ...request, id, box, sentAt, wholeAt, endedAt });
  },
);

Given(
  "a request {string} to {string}, sent at {int} ms and not whole, whose connection ended at {int} ms",
  function (this: object, id: string, box: string, sentAt: number, endedAt: number) {
    stateOf(this).requests.push({ ...request, id, box, sentAt, endedAt });
  },
);

Given(
  "a request {string} to {string}, sent at {int} ms, answered with {int} at {int} ms",
  function (
    this: object,
    id: string,
    box: string,
    sentAt: number,
    status: number,
    endedAt: number,
  ) {
    const times = { sentAt, wholeAt: sentAt, endedAt, timeLimitMs: 3_000 };
    stateOf(this).requests.push({ ...request, ...times, id, box, status });
  },
);

Given("it started at {string}", function (this: object, target: string) {
  const { requests, runs } = stateOf(this);
  for (const { id, sentAt: at } of requests) runs.push({ id, target, at });
});

Given(
  "{string} was disrupted from {int} ms to {int} ms",
  function (this: object, subject: string, from: number, until: number) {
    stateOf(this).disruptions.push({ subject, from, until });
  },
);

const checks: Readonly<Record<string, (state: ScenarioState) => readonly Finding[]>> = {
  "the answers around stops": checkAnsweredAroundStops,
  "the requests that a stopping box takes": checkTakesOnlyWhatFits,
  "the ends of processes": checkEndsWithinGrace,
};

Then(
  /^(the .*) are (?:not reported|reported for "(.*)")$/,
  function (this: object, check: string, what: string | undefined) {
    const details = checks[check](stateOf(this)).map(({ detail }) => detail);
    assert.equal(details.length, what === undefined ? 0 : 1, details.join());
    if (what !== undefined) assert.ok(details[0].startsWith(what), details[0]);
  },
);

Given(
  "a process that got SIGTERM at {int} ms and {int} ms, was paused from {int} ms to {int} ms and ended at {int} ms",
  function (
    this: object,
    firstAt: number,
    againAt: number,
    pausedAt: number,
    resumedAt: number,
    endedAt: number,
  ) {
    const record = (kind: ProcessEvent["kind"], at: number) =>
      void stateOf(this).history.push({ kind, incarnation: 1, at });
    record("SIGTERM", firstAt);
    record("SIGTERM", againAt);
    record("SIGSTOP", pausedAt);
    record("SIGCONT", resumedAt);
    record("ended", endedAt);
  },
);

Given(
  "whose next life got SIGKILL at {int} ms and ended at {int} ms",
  function (this: object, killedAt: number, endedAt: number) {
    const { history } = stateOf(this);
    history.push({ kind: "SIGKILL", incarnation: 2, at: killedAt });
    history.push({ kind: "ended", incarnation: 2, at: endedAt });
  },
);

Then(
  "it had one planned stop at {int} ms with a pause of {int} ms",
  function (this: object, at: number, pausedMs: number) {
    const stops = plannedStops("b1", stateOf(this).history);
    assert.deepEqual(
      stops.map((planned) => [planned.at, planned.pausedMs, planned.wasKilled]),
      [[at, pausedMs, false]],
    );
  },
);

Then(
  "it was disrupted from {int} ms to {int} ms and from {int} ms to {int} ms",
  function (this: object, from: number, until: number, nextFrom: number, nextUntil: number) {
    assert.deepEqual(processDisruptions("b1", stateOf(this).history), [
      { subject: "b1", from, until },
      { subject: "b1", from: nextFrom, until: nextUntil },
    ]);
  },
);
