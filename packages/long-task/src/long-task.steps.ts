import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import type { Clock } from "@linkfall/kernel";
import { type EventDetail, recordingLogger } from "@linkfall/logger";
import { createMetrics, type Metrics } from "@linkfall/metrics";
import { scenarioState } from "@linkfall/test-support";
import { type TaskName, timeTask } from "./index.js";

interface Scene {
  readonly logged: EventDetail[];
  readonly metrics: Metrics;
}

const sceneOf = (world: object) => scenarioState(world).get<Scene>("long task");

When("a task {string} takes {int} ms", function (this: object, task: string, ms: number) {
  const scene: Scene = { logged: [], metrics: createMetrics() };
  scenarioState(this).set("long task", scene);
  let now = 0;
  const clock: Clock = {
    now: () => now,
    elapsed: () => now,
    wallTime: () => "",
    after: () => () => undefined,
  };
  const logger = recordingLogger((_name, detail) => void scene.logged.push(detail));
  const reporters = { clock, logger, metrics: scene.metrics };
  const result = timeTask(reporters, task as TaskName, () => (now += ms));
  assert.equal(result, ms);
});

Then("{string} with {int} ms is logged", function (this: object, task: string, ms: number) {
  assert.deepEqual(sceneOf(this).logged, [{ task, ms }]);
});

Then("no task is logged", function (this: object) {
  assert.deepEqual(sceneOf(this).logged, []);
});

Then(
  "{int} long task {string} of {int} ms in all is counted",
  function (this: object, count: number, task: string, ms: number) {
    const { metrics } = sceneOf(this);
    assert.equal(metrics.counterValue("linkfall_long_tasks_total", { task }), count);
    assert.equal(metrics.counterValue("linkfall_long_task_ms_total", { task }), ms);
  },
);
