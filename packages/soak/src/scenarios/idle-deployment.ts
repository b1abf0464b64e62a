/** Shared by the steps of several features: a deployment without load, and probes of every model. */
import { scenarioState } from "@linkfall/test-support";
import { createCallers, type ReportedOutcome } from "./callers.js";
import { createOperators } from "./operators.js";
import { accounts, soakModel } from "./resources.js";
import { createWorld, type World, type WorldBox } from "./world.js";

export const modelCount = 10;
const settleMs = 20_000;

/** Creates a deployment of three boxes, waits until every model is loaded, and stores it in the scenario's notes. */
export async function createIdleDeployment(world: object, settings = {}): Promise<void> {
  const deployment = createWorld(5, { settings });
  for (const name of ["b1", "b2", "b3"]) await deployment.startBox(name);
  void createOperators(deployment).writeInitialState();
  await deployment.clock.runUntil(settleMs);
  scenarioState(world).set("world", deployment);
}

/** Returns the deployment of the current scenario. */
export const worldOf = (world: object) => scenarioState(world).get<World>("world");

/** Sends a request for every model to a box and returns the outcomes received within 8 s. */
export async function probeAllModels(
  world: World,
  box: WorldBox,
): Promise<readonly ReportedOutcome[]> {
  const callers = createCallers(world);
  const outcomes: ReportedOutcome[] = [];
  for (let index = 0; index < modelCount; index++) {
    const account = accounts[index % accounts.length];
    void callers
      .probe(box, account, soakModel(index).name)
      .then((outcome) => outcomes.push(outcome));
  }
  await world.clock.runUntil(world.clock.now() + 8_000);
  return outcomes;
}
