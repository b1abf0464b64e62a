import assert from "node:assert/strict";
import { createServer, type Server } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  DeploymentProcesses,
  freeAddresses,
  loopbackHost,
  type RunningBox,
} from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";

interface TestContext {
  readonly deployment: DeploymentProcesses;
  readonly portHolder: Server;
  /** The `box` section of the settings. */
  readonly boxSection: Readonly<Record<string, string>>;
  readonly address: string;
}

const contextOf = (world: object) => scenarioState(world).get<TestContext>("addressContext");

Given(
  "a platform, and a process that listens on the {word} address of a box",
  async function (this: object, addressKind: string) {
    const deployment = new DeploymentProcesses();
    await deployment.startPlatform();
    const [peer, operator, caller] = await freeAddresses(3);
    const addresses: Record<string, string> = {
      peer_address: peer,
      operator_address: operator,
      caller_address: caller,
    };
    const address = addresses[`${addressKind}_address`];
    const portHolder = createServer();
    const port = Number(address.split(":")[1]);
    await new Promise<void>((resolve) => portHolder.listen(port, loopbackHost, resolve));
    const boxSection = { name: "box-1", domain: "north", ...addresses };
    scenarioState(this).set("addressContext", { deployment, portHolder, boxSection, address });
  },
);

When("the box starts", async function (this: object) {
  const { deployment, boxSection } = contextOf(this);
  scenarioState(this).set("box", await deployment.startBox("box-1", "north", { box: boxSection }));
});

Then(
  "it exits with code {int} and logs the unavailable address, not a broken invariant",
  async function (this: object, code: number) {
    const box = scenarioState(this).get<RunningBox>("box");
    assert.equal(await box.exited, code, box.stderrText());
    assert.match(box.stderrText(), new RegExp(`cannot listen on ${contextOf(this).address}`));
    assert.doesNotMatch(box.stderrText(), /invariantBroken/);
  },
);

After({ name: "addresses" }, async function (this: object) {
  let context: TestContext;
  try {
    context = contextOf(this);
  } catch {
    return;
  }
  await context.deployment.stop();
  await new Promise((resolve) => context.portHolder.close(resolve));
});
