/** What engines notice that must not happen. */
import type { EngineRequest } from "@linkfall/stand-ins";
import type { Engine, Milliseconds, Order } from "@linkfall/types";
import type { World, WorldEngine } from "./world.js";

/** A leaving target must get no new work after this time. */
const leavingGraceMs: Milliseconds = 3_000;
/** After the loss of an engine an unload that was right when it was ordered may still arrive. */
const unloadGraceMs: Milliseconds = 10_000;

/** Counts one start of a prompt at engines, or of a body at services. */
export function countRun({ runs }: World, key: string): void {
  runs.set(key, (runs.get(key) ?? 0) + 1);
}

/** Checks that an engine which is leaving gets no new work. */
export function checkStart(world: World, engine: WorldEngine, request: EngineRequest): void {
  countRun(world, request.prompt);
  const leavingMs = world.clock.now() - (engine.leavingSince ?? Infinity);
  if (leavingMs > leavingGraceMs) {
    const { name } = engine.core.engine;
    world.violation(`${name} got new work ${leavingMs} ms after it began to leave`);
  }
}

/** Checks that an unload does not take the last copy that serves a model. */
export function checkUnload(world: World, engineName: string, artifact: string): void {
  const modelPrefix = artifact.slice(0, artifact.lastIndexOf("@") + 1);
  const servedElsewhere = world.engines.some(({ core, down }) => {
    const replicas = core.residents().filter((copy) => copy.state === "ready");
    const sameModel = replicas.filter((copy) => copy.artifact.startsWith(modelPrefix));
    const otherReplicas = sameModel.filter(
      (copy) => core.engine.name !== engineName || copy.artifact !== artifact,
    );
    return !down && otherReplicas.length > 0;
  });
  const recentLoss = world.clock.now() - world.engineLostAt < unloadGraceMs;
  if (!servedElsewhere && !recentLoss && artifact.startsWith("model:")) {
    world.violation(`the last ready copy of ${artifact} was unloaded from ${engineName}`);
  }
}

/** Creates the check that a fence, once an order of its epoch was taken, keeps out earlier ones. */
export function createEpochCheck(violation: World["violation"]) {
  const highestEpochs = new Map<string, number>();
  return (engine: Engine, order: Order) => {
    const highest = highestEpochs.get(engine.name) ?? 0;
    if (engine.fenced && order.epoch < highest) {
      violation(`${engine.name} took an order of epoch ${order.epoch} after one of ${highest}`);
    }
    highestEpochs.set(engine.name, Math.max(highest, order.epoch));
  };
}
