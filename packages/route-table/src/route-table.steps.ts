import assert from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import type { Route } from "@linkfall/types";
import { createRouteTable, type RouteTable, selectShare } from "./index.js";

function route(name: string): Route {
  const [host, pathPrefix] = name.split(" ");
  return {
    name,
    host,
    pathPrefix,
    weightedServices: [{ service: "s", weight: 1 }],
    repeatability: "repeatable",
    streaming: false,
    resumable: false,
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 1,
    maxAttempts: 2,
    anonymous: false,
  };
}

Given(
  "routes {string}, {string} and {string}",
  function (this: object, first: string, second: string, third: string) {
    const table = createRouteTable({
      version: 1,
      routes: [first, second, third].map(route),
      services: new Map(),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    scenarioState(this).set("table", table);
  },
);

Then(
  "a request for {string} and {string} goes to route {string}",
  function (this: object, host: string, path: string, name: string) {
    const found = scenarioState(this).get<RouteTable>("table").find(host, path);
    assert.equal(found?.name ?? "none", name);
  },
);

Given("a route that splits 90 to 10", function (this: object) {
  const weightedServices = [
    { service: "first", weight: 90 },
    { service: "second", weight: 10 },
  ];
  scenarioState(this).set("route", { ...route("a.example /"), weightedServices: weightedServices });
});

Then(
  "of 1000 requests between 850 and 950 go to the first service, each always to the same",
  function (this: object) {
    const split = scenarioState(this).get<Route>("route");
    const ids = Array.from({ length: 1000 }, (_, index) => `request-${index}`);
    const first = ids.filter((id) => selectShare(split, id).service === "first");
    assert.ok(first.length > 850 && first.length < 950);
    assert.ok(ids.every((id) => selectShare(split, id) === selectShare(split, id)));
  },
);
