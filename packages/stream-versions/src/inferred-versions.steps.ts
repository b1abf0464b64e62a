import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { streamKey } from "./index.js";
import { identityOf, runFor, sceneOf, service } from "./stream-versions.steps.js";

When("the store does not tell the versions", function (this: object) {
  sceneOf(this).storedVersions = undefined;
});

When("the store tells the versions {string}", function (this: object, versions: string) {
  sceneOf(this).storedVersions = versions.split(" ");
});

When("the boxes that are up hear of few others", function (this: object) {
  sceneOf(this).reachesMajority = false;
});

/** Time in which the other boxes and the store answer or are given up. */
const maxInferenceMs = 2_000;

Then(
  "box {int} infers no version, and not all have answered",
  async function (this: object, box: number) {
    const scene = sceneOf(this);
    const looking = scene.boxes[box - 1].lookUp(streamKey(identityOf(0)), service);
    await runFor(scene.clock, maxInferenceMs);
    const found = await looking;
    assert.equal(found.kind, "unknown");
    assert.deepEqual([found.soleVersion, found.allAnswered], [undefined, false]);
  },
);

Then(
  "box {int} infers version {string} within {int} ms",
  async function (this: object, box: number, version: string, maxMs: number) {
    const scene = sceneOf(this);
    let inferred: string | undefined;
    void scene.boxes[box - 1].lookUp(streamKey(identityOf(0)), service).then((found) => {
      if (found.kind === "unknown") inferred = found.soleVersion;
    });
    await runFor(scene.clock, maxMs);
    assert.equal(inferred, version);
  },
);

When(
  "{int} unknown streams are looked up at box {int} in {int} ms",
  async function (this: object, count: number, box: number, ms: number) {
    const scene = sceneOf(this);
    for (let index = 0; index < count; index++) {
      const key = streamKey(identityOf(1_000 + index));
      scene.clock.after((index * ms) / count, () => void scene.boxes[box - 1].lookUp(key, service));
    }
    await runFor(scene.clock, ms + maxInferenceMs);
  },
);

Then("the versions were read {int} times", function (this: object, count: number) {
  assert.equal(sceneOf(this).versionReads, count);
});

Then(
  "the versions were read at least once and at most {int} times",
  function (this: object, max: number) {
    const { versionReads } = sceneOf(this);
    assert.ok(versionReads > 0 && versionReads <= max, `${versionReads} reads`);
  },
);
