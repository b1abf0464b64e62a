/** The faults of a run, drawn from its seed, alone and in pairs. */
import { pick, sleep } from "@linkfall/kernel";
import { streams } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import {
  cutFrom,
  cutOneWay,
  markDisturbed,
  drainBox,
  type EndFault,
  type InjectFault,
  isolateBox,
  killBox,
  killHolder,
  nothingToEnd,
  pauseBox,
  pauseHolder,
  replaceBoxes,
} from "./box-faults.js";
import { domains } from "./resources.js";
import type { World, WorldEngine } from "./world.js";

const minFaultMs: Milliseconds = 1_500;
const maxFaultMs: Milliseconds = 12_000;

/** The engine's process ends; what it held is gone. */
function restartWithEmptyMemory(world: World, engine: WorldEngine): void {
  engine.core.restart();
  world.engineLostAt = world.clock.now();
}

function restartEngine(world: World): EndFault {
  restartWithEmptyMemory(world, pick(world.random, world.engines));
  return nothingToEnd;
}

function stopEngine(world: World): EndFault {
  const engine = pick(world.random, world.engines);
  engine.down = true;
  restartWithEmptyMemory(world, engine);
  return () => {
    engine.down = false;
  };
}

function loseDomain(world: World): EndFault {
  const domain = pick(world.random, domains);
  const lostEngines = world.engines.filter((engine) => engine.core.engine.domain === domain);
  for (const engine of lostEngines) {
    engine.down = true;
    restartWithEmptyMemory(world, engine);
  }
  return () => {
    for (const engine of lostEngines) engine.down = false;
  };
}

function engineLeaves(world: World): EndFault {
  const engine = pick(world.random, world.engines);
  if (engine.leavingSince !== undefined) return nothingToEnd;
  engine.core.leaving = true;
  engine.leavingSince = world.clock.now();
  world.engineLostAt = world.clock.now();
  return () => {
    engine.core.leaving = false;
    engine.leavingSince = undefined;
  };
}

function logDown(world: World): EndFault {
  world.log.faults.down = true;
  return () => {
    world.log.faults.down = false;
  };
}

function logSlow(world: World): EndFault {
  world.log.faults.slowMs = 800;
  return () => {
    world.log.faults.slowMs = 0;
  };
}

function logLosesReplies(world: World): EndFault {
  world.log.faults.loseReplies = 0.4;
  return () => {
    world.log.faults.loseReplies = 0;
  };
}

function logForgets(world: World): EndFault {
  world.log.truncate(streams.state, 80);
  return nothingToEnd;
}

function badRecords(world: World): EndFault {
  for (const data of ["", "{}", '{"type":"write"}', '{"type":"claim","id":"x#1","pool":3}']) {
    world.log.inject(streams.state, data);
  }
  return nothingToEnd;
}

function weightsSlow(world: World): EndFault {
  world.weights.setSlowdown(3);
  return () => world.weights.setSlowdown(1);
}

function listDown(world: World): EndFault {
  world.list.down = true;
  return () => {
    world.list.down = false;
  };
}

function poorLinks(world: World): EndFault {
  Object.assign(world.network.faults, { loss: 0.08, cutStreams: 0.15 });
  const endDisturbance = markDisturbed(world, ...world.boxes);
  return () => {
    Object.assign(world.network.faults, { loss: 0, cutStreams: 0 });
    endDisturbance();
  };
}

function lateOrders(world: World): EndFault {
  Object.assign(world.network.faults, { lateOrders: 0.3, repeatedOrders: 0.3 });
  return () => {
    Object.assign(world.network.faults, { lateOrders: 0, repeatedOrders: 0 });
  };
}

/** All faults by name. */
export const faultsByName = {
  killBox,
  pauseBox,
  killHolder,
  pauseHolder,
  replaceBoxes,
  drainBox,
  cutFromLog: cutFrom("log"),
  cutFromList: cutFrom("list"),
  cutFromEngine: cutFrom("e1"),
  cutOneWay,
  isolateBox,
  restartEngine,
  stopEngine,
  loseDomain,
  engineLeaves,
  logDown,
  logSlow,
  logLosesReplies,
  logForgets,
  badRecords,
  listDown,
  weightsSlow,
  poorLinks,
  lateOrders,
} satisfies Record<string, InjectFault>;
export type FaultName = keyof typeof faultsByName;

/** Injects faults until the given time, then ends those that go on; answers with their names. */
export async function injectFaults(
  world: World,
  names: readonly FaultName[],
  until: Milliseconds,
): Promise<readonly FaultName[]> {
  const { clock, random } = world;
  const injected: FaultName[] = [];
  const activeFaults = new Set<EndFault>();
  const inject = () => {
    const name = pick(random, names);
    injected.push(name);
    const end = faultsByName[name](world);
    const endOnce: EndFault = () => {
      if (activeFaults.delete(endOnce)) end();
    };
    activeFaults.add(endOnce);
    clock.after(minFaultMs + random.nextFloat() * (maxFaultMs - minFaultMs), endOnce);
  };
  while (clock.now() < until) {
    inject();
    if (random.nextFloat() < 0.5) inject();
    await sleep(clock, 1_000 + random.nextFloat() * 6_000);
  }
  for (const end of [...activeFaults]) end();
  world.network.healAll();
  return injected;
}
