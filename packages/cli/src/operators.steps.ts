import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { DeploymentProcesses, hashToken, operatorToken, waitUntil } from "@linkfall/stand-ins";
import { account, engine, model, scenarioState, pool } from "@linkfall/test-support";
import type { Resource } from "@linkfall/types";
import { stringify } from "yaml";
import { runLinkfall } from "./run.js";

interface TestContext {
  readonly deployment: DeploymentProcesses;
  readonly directory: string;
  readonly resources: readonly Resource[];
}

const notices = model("notices");
const contextOf = (world: object) => scenarioState(world).get<TestContext>("context");

Given("two boxes and an engine as processes", async function (this: object) {
  const deployment = new DeploymentProcesses();
  const directory = mkdtempSync(join(tmpdir(), "linkfall-cli-"));
  await deployment.startPlatform();
  const runningEngine = await deployment.startEngine(engine("e1"));
  for (const name of ["box-1", "box-2"]) await deployment.startBox(name, "north");
  await Promise.all(deployment.boxes.map((box) => deployment.waitUntilReady(box)));
  const owner = account("one", { tokenHash: hashToken("one") });
  scenarioState(this).set("context", {
    deployment,
    directory,
    resources: [owner, pool(), runningEngine, notices],
  });
});

After(async function (this: object) {
  let context: TestContext;
  try {
    context = contextOf(this);
  } catch {
    return;
  }
  await context.deployment.stop();
  rmSync(context.directory, { recursive: true, force: true });
});

async function runCommand(world: object, args: readonly string[]): Promise<void> {
  const output = new PassThrough();
  let text = "";
  output.on("data", (chunk) => (text += String(chunk)));
  const code = await runLinkfall(args, { stdin: process.stdin, stdout: output, stderr: output });
  scenarioState(world).set("code", code);
  scenarioState(world).set("text", text);
}

function runAsOperator(
  world: object,
  args: readonly string[],
  token = operatorToken,
  box = 0,
): Promise<void> {
  const { operatorAddress } = contextOf(world).deployment.boxes[box];
  return runCommand(world, [...args, "--box", `http://${operatorAddress}`, "--token", token]);
}

/** Writes a YAML file with one document per resource and returns its path. */
function writeResourceFile(world: object, resources: readonly object[]): string {
  const path = join(contextOf(world).directory, "desired.yaml");
  writeFileSync(path, resources.map((resource) => stringify(resource)).join("---\n"));
  return path;
}

When("an operator applies a file with a model", async function (this: object) {
  await runAsOperator(this, ["apply", "-f", writeResourceFile(this, contextOf(this).resources)]);
});

Then(
  "the command exits with 0 and the model is in force on both boxes",
  async function (this: object) {
    assert.equal(scenarioState(this).get("code"), 0, scenarioState(this).get("text"));
    for (const box of [0, 1]) {
      const inForce = async () => {
        await runAsOperator(this, ["get", "model", "notices"], operatorToken, box);
        return scenarioState(this).get("code") === 0;
      };
      await waitUntil(inForce, () => scenarioState(this).get("text"));
    }
  },
);

When("the operator compares the same file with the desired state", async function (this: object) {
  await runAsOperator(this, ["diff", "-f", writeResourceFile(this, contextOf(this).resources)]);
});

When(
  "the operator compares a file that contains another version of the model",
  async function (this: object) {
    await runAsOperator(this, [
      "diff",
      "-f",
      writeResourceFile(this, [{ ...notices, version: "2" }]),
    ]);
  },
);

When(
  "the operator applies that file based on a revision before the model was created",
  async function (this: object) {
    await runAsOperator(this, [
      "apply",
      "-f",
      writeResourceFile(this, [{ ...notices, version: "2" }]),
      "--base",
      "0",
    ]);
  },
);

When(
  "the operator applies a file whose model refers to an unknown pool and has a size of 0",
  async function (this: object) {
    await runAsOperator(this, [
      "apply",
      "-f",
      writeResourceFile(this, [{ ...notices, pool: "nowhere", sizeMb: 0 }]),
    ]);
  },
);

When("the operator deletes the pool", async function (this: object) {
  await runAsOperator(this, ["delete", "pool", "p"]);
});

When("the operator deletes the model", async function (this: object) {
  await runAsOperator(this, ["delete", "model", "notices"]);
});

When("the operator requests the audit trail", async function (this: object) {
  await runAsOperator(this, ["audit"]);
});

When("the operator lists the boxes", async function (this: object) {
  await runAsOperator(this, ["boxes"]);
});

When("a client with an invalid token requests the resources", async function (this: object) {
  await runAsOperator(this, ["get"], "wrong");
});

When("the operator checks a settings file with an unknown key", async function (this: object) {
  const directory = mkdtempSync(join(tmpdir(), "linkfall-cli-"));
  const path = join(directory, "box.ini");
  writeFileSync(path, "[lease]\ncolour = red\n");
  await runCommand(this, ["check-settings", path]);
  rmSync(directory, { recursive: true });
});

Then(
  "the command exits with {int} and its output contains {string}",
  function (this: object, code: number, expected: string) {
    const text = scenarioState(this).get<string>("text");
    assert.equal(scenarioState(this).get("code"), code, text);
    assert.ok(text.includes(expected), text);
  },
);

Then(
  "the command exits with {int} and its output does not contain {string}",
  function (this: object, code: number, expected: string) {
    const text = scenarioState(this).get<string>("text");
    assert.equal(scenarioState(this).get("code"), code, text);
    assert.ok(!text.includes(expected), text);
  },
);
