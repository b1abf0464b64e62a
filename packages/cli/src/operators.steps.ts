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

interface Office {
  readonly deployment: DeploymentProcesses;
  readonly folder: string;
  readonly declared: readonly Resource[];
}

const notices = model("notices");
const officeOf = (world: object) => scenarioState(world).get<Office>("office");

Given("two boxes and an engine as processes", async function (this: object) {
  const deployment = new DeploymentProcesses();
  const folder = mkdtempSync(join(tmpdir(), "linkfall-cli-"));
  await deployment.startPlatform();
  const running = await deployment.startEngine(engine("e1"));
  for (const name of ["box-1", "box-2"]) await deployment.startBox(name, "north");
  await Promise.all(deployment.boxes.map((box) => deployment.waitUntilReady(box)));
  const owner = account("one", { tokenHash: hashToken("one") });
  scenarioState(this).set("office", {
    deployment,
    folder,
    declared: [owner, pool(), running, notices],
  });
});

After(async function (this: object) {
  let office: Office;
  try {
    office = officeOf(this);
  } catch {
    return;
  }
  await office.deployment.stop();
  rmSync(office.folder, { recursive: true, force: true });
});

async function run(world: object, args: readonly string[]): Promise<void> {
  const output = new PassThrough();
  let text = "";
  output.on("data", (chunk) => (text += String(chunk)));
  const code = await runLinkfall(args, { stdin: process.stdin, stdout: output, stderr: output });
  scenarioState(world).set("code", code);
  scenarioState(world).set("text", text);
}

function ask(
  world: object,
  args: readonly string[],
  token = operatorToken,
  box = 0,
): Promise<void> {
  const { operatorAddress } = officeOf(world).deployment.boxes[box];
  return run(world, [...args, "--box", `http://${operatorAddress}`, "--token", token]);
}

/** Writes a file as an operator would, one YAML document for each resource. */
function fileWith(world: object, resources: readonly object[]): string {
  const path = join(officeOf(world).folder, "desired.yaml");
  writeFileSync(path, resources.map((resource) => stringify(resource)).join("---\n"));
  return path;
}

When("an operator applies a file with a model", async function (this: object) {
  await ask(this, ["apply", "-f", fileWith(this, officeOf(this).declared)]);
});

Then(
  "the tool exits with 0 and the model is in force on both boxes",
  async function (this: object) {
    assert.equal(scenarioState(this).get("code"), 0, scenarioState(this).get("text"));
    for (const box of [0, 1]) {
      const inForce = async () => {
        await ask(this, ["get", "model", "notices"], operatorToken, box);
        return scenarioState(this).get("code") === 0;
      };
      await waitUntil(inForce, () => scenarioState(this).get("text"));
    }
  },
);

When("the operator compares the same file", async function (this: object) {
  await ask(this, ["diff", "-f", fileWith(this, officeOf(this).declared)]);
});

When(
  "the operator compares the file with another version of the model",
  async function (this: object) {
    await ask(this, ["diff", "-f", fileWith(this, [{ ...notices, version: "2" }])]);
  },
);

When(
  "the operator applies that file based on a revision before the model was declared",
  async function (this: object) {
    await ask(this, ["apply", "-f", fileWith(this, [{ ...notices, version: "2" }]), "--base", "0"]);
  },
);

When(
  "the operator applies a file whose model names an unknown pool and a size of 0",
  async function (this: object) {
    await ask(this, ["apply", "-f", fileWith(this, [{ ...notices, pool: "nowhere", sizeMb: 0 }])]);
  },
);

When("the operator deletes the pool", async function (this: object) {
  await ask(this, ["delete", "pool", "p"]);
});

When("the operator deletes the model", async function (this: object) {
  await ask(this, ["delete", "model", "notices"]);
});

When("the operator asks for the audit trail", async function (this: object) {
  await ask(this, ["audit"]);
});

When("the operator lists the boxes", async function (this: object) {
  await ask(this, ["boxes"]);
});

When("somebody with a wrong token asks for the resources", async function (this: object) {
  await ask(this, ["get"], "wrong");
});

When("the operator checks a settings file with an unknown key", async function (this: object) {
  const folder = mkdtempSync(join(tmpdir(), "linkfall-cli-"));
  const path = join(folder, "box.ini");
  writeFileSync(path, "[lease]\ncolour = red\n");
  await run(this, ["check-settings", path]);
  rmSync(folder, { recursive: true });
});

Then(
  "the tool exits with {int} and says {string}",
  function (this: object, code: number, words: string) {
    const text = scenarioState(this).get<string>("text");
    assert.equal(scenarioState(this).get("code"), code, text);
    assert.ok(text.includes(words), text);
  },
);

Then(
  "the tool exits with {int} and says nothing of {string}",
  function (this: object, code: number, words: string) {
    const text = scenarioState(this).get<string>("text");
    assert.equal(scenarioState(this).get("code"), code, text);
    assert.ok(!text.includes(words), text);
  },
);
