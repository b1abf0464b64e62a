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

interface Taken {
  readonly deployment: DeploymentProcesses;
  readonly occupant: Server;
  /** The box section of the settings. */
  readonly section: Readonly<Record<string, string>>;
  readonly address: string;
}

const takenOf = (world: object) => scenarioState(world).get<Taken>("taken");

Given(
  "a platform, and a process that listens on the {word} address of a box",
  async function (this: object, which: string) {
    const deployment = new DeploymentProcesses();
    await deployment.startPlatform();
    const [peer, operator, caller] = await freeAddresses(3);
    const addresses: Record<string, string> = {
      peer_address: peer,
      operator_address: operator,
      caller_address: caller,
    };
    const address = addresses[`${which}_address`];
    const occupant = createServer();
    const port = Number(address.split(":")[1]);
    await new Promise<void>((resolve) => occupant.listen(port, loopbackHost, resolve));
    const section = { name: "box-1", domain: "north", ...addresses };
    scenarioState(this).set("taken", { deployment, occupant, section, address });
  },
);

When("the box starts", async function (this: object) {
  const { deployment, section } = takenOf(this);
  scenarioState(this).set("box", await deployment.startBox("box-1", "north", { box: section }));
});

Then(
  "it ends with exit code {int} and names the address, not a broken invariant",
  async function (this: object, code: number) {
    const box = scenarioState(this).get<RunningBox>("box");
    assert.equal(await box.exited, code, box.stderrText());
    assert.match(box.stderrText(), new RegExp(`cannot listen on ${takenOf(this).address}`));
    assert.doesNotMatch(box.stderrText(), /invariantBroken/);
  },
);

After({ name: "addresses" }, async function (this: object) {
  let taken: Taken;
  try {
    taken = takenOf(this);
  } catch {
    return;
  }
  await taken.deployment.stop();
  await new Promise((resolve) => taken.occupant.close(resolve));
});
