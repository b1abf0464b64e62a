/** Invariants that are checked at the engines. */
import type { EngineRequest } from "@linkfall/stand-ins";
import type { Engine, Milliseconds, Order } from "@linkfall/types";
import type { World, WorldEngine } from "./world.js";

/** Time after which a leaving engine must not receive new requests. */
const leavingGraceMs: Milliseconds = 3_000;
/** Time after the loss of an engine in which an unload ordered earlier may still arrive. */
const unloadGraceMs: Milliseconds = 10_000;

/** Counts a run of a prompt at an engine, or of a body at a service. */
export function countRun({ runs }: World, key: string): void {
  runs.set(key, (runs.get(key) ?? 0) + 1);
}

/** Counts a run and checks that a leaving engine receives no new requests. */
export function checkStart(world: World, engine: WorldEngine, request: EngineRequest): void {
  countRun(world, request.prompt);
  const leavingMs = world.clock.now() - (engine.leavingSince ?? Infinity);
  if (leavingMs > leavingGraceMs) {
    const { name } = engine.core.engine;
    world.violation(`${name} received a new request ${leavingMs} ms after it started leaving`);
  }
}

/** Checks that an unload does not remove the last ready replica of a model. */
export function checkUnload(world: World, engineName: string, artifact: string): void {
  const modelPrefix = artifact.slice(0, artifact.lastIndexOf("@") + 1);
  const servedElsewhere = world.engines.some(({ core, down }) => {
    const replicas = core.residents().filter((replica) => replica.state === "ready");
    const sameModel = replicas.filter((replica) => replica.artifact.startsWith(modelPrefix));
    const otherReplicas = sameModel.filter(
      (replica) => core.engine.name !== engineName || replica.artifact !== artifact,
    );
    return !down && otherReplicas.length > 0;
  });
  const recentLoss = world.clock.now() - world.engineLostAt < unloadGraceMs;
  if (!servedElsewhere && !recentLoss && artifact.startsWith("model:")) {
    world.violation(`the last ready replica of ${artifact} was unloaded from ${engineName}`);
  }
}

/** Creates a check that a fenced engine accepts no order of an epoch below the highest accepted one. */
export function createEpochCheck(violation: World["violation"]) {
  const highestEpochs = new Map<string, number>();
  return (engine: Engine, order: Order) => {
    const highest = highestEpochs.get(engine.name) ?? 0;
    if (engine.fenced && order.epoch < highest) {
      violation(`${engine.name} accepted an order of epoch ${order.epoch} after epoch ${highest}`);
    }
    highestEpochs.set(engine.name, Math.max(highest, order.epoch));
  };
}
