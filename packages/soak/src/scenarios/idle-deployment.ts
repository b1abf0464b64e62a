/** What the steps of several scenarios share: a deployment at rest, and callers that ask for everything. */
import { scenarioState } from "@linkfall/test-support";
import { createCallers, type ReportedOutcome } from "./callers.js";
import { createOperators } from "./operators.js";
import { accounts, soakModel } from "./resources.js";
import { createWorld, type World, type WorldBox } from "./world.js";

export const modelCount = 10;
const settleMs = 20_000;

/** Notes a deployment of three boxes in which every model has been placed. */
export async function createIdleDeployment(world: object, settings = {}): Promise<void> {
  const created = createWorld(5, { settings });
  for (const name of ["b1", "b2", "b3"]) await created.startBox(name);
  void createOperators(created).writeInitialState();
  await created.clock.runUntil(settleMs);
  scenarioState(world).set("world", created);
}

/** The deployment of the running scenario. */
export const worldOf = (world: object) => scenarioState(world).get<World>("world");

/** Asks a box for every model and answers with what came of it. */
export async function probeAllModels(world: World, box: WorldBox): Promise<readonly ReportedOutcome[]> {
  const callers = createCallers(world);
  const outcomes: ReportedOutcome[] = [];
  for (let index = 0; index < modelCount; index++) {
    const account = accounts[index % accounts.length];
    void callers.probe(box, account, soakModel(index).name).then((word) => outcomes.push(word));
  }
  await world.clock.runUntil(world.clock.now() + 8_000);
  return outcomes;
}
