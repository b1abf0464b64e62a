/** The faults of a run, drawn from its seed, alone and in pairs. */
import { pick, sleep } from "@linkfall/kernel";
import { streams } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import {
  cutFrom,
  cutOneWay,
  disturb,
  drainBox,
  type End,
  type Fault,
  isolateBox,
  killBox,
  killHolder,
  nothing,
  pauseBox,
  pauseHolder,
  replaceBoxes,
} from "./box-faults.js";
import { domains } from "./resources.js";
import type { World, WorldEngine } from "./world.js";

const shortest: Milliseconds = 1_500;
const longest: Milliseconds = 12_000;

/** The engine's process ends; what it held is gone. */
function stopNow(world: World, engine: WorldEngine): void {
  engine.core.restart();
  world.engineLostAt = world.clock.now();
}

function restartEngine(world: World): End {
  stopNow(world, pick(world.random, world.engines));
  return nothing;
}

function stopEngine(world: World): End {
  const engine = pick(world.random, world.engines);
  engine.down = true;
  stopNow(world, engine);
  return () => {
    engine.down = false;
  };
}

function loseDomain(world: World): End {
  const domain = pick(world.random, domains);
  const lost = world.engines.filter((engine) => engine.core.engine.domain === domain);
  for (const engine of lost) {
    engine.down = true;
    stopNow(world, engine);
  }
  return () => {
    for (const engine of lost) engine.down = false;
  };
}

function engineLeaves(world: World): End {
  const engine = pick(world.random, world.engines);
  if (engine.leavingSince !== undefined) return nothing;
  engine.core.leaving = true;
  engine.leavingSince = world.clock.now();
  world.engineLostAt = world.clock.now();
  return () => {
    engine.core.leaving = false;
    engine.leavingSince = undefined;
  };
}

function logDown(world: World): End {
  world.log.faults.down = true;
  return () => {
    world.log.faults.down = false;
  };
}

function logSlow(world: World): End {
  world.log.faults.slowMs = 800;
  return () => {
    world.log.faults.slowMs = 0;
  };
}

function logLosesReplies(world: World): End {
  world.log.faults.loseReplies = 0.4;
  return () => {
    world.log.faults.loseReplies = 0;
  };
}

function logForgets(world: World): End {
  world.log.truncate(streams.state, 80);
  return nothing;
}

function badRecords(world: World): End {
  for (const data of ["", "{}", '{"type":"write"}', '{"type":"claim","id":"x#1","pool":3}']) {
    world.log.inject(streams.state, data);
  }
  return nothing;
}

function weightsSlow(world: World): End {
  world.weights.setSlowdown(3);
  return () => world.weights.setSlowdown(1);
}

function listDown(world: World): End {
  world.list.down = true;
  return () => {
    world.list.down = false;
  };
}

function poorLinks(world: World): End {
  Object.assign(world.network.faults, { loss: 0.08, cutStreams: 0.15 });
  const settled = disturb(world, ...world.boxes);
  return () => {
    Object.assign(world.network.faults, { loss: 0, cutStreams: 0 });
    settled();
  };
}

function lateOrders(world: World): End {
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
} satisfies Record<string, Fault>;
export type FaultName = keyof typeof faultsByName;

/** Injects faults until the given time, then ends those that go on; answers with their names. */
export async function injectFaults(
  world: World,
  names: readonly FaultName[],
  until: Milliseconds,
): Promise<readonly FaultName[]> {
  const { clock, random } = world;
  const injected: FaultName[] = [];
  const ends = new Set<End>();
  const inject = () => {
    const name = pick(random, names);
    injected.push(name);
    const end = faultsByName[name](world);
    const once: End = () => {
      if (ends.delete(once)) end();
    };
    ends.add(once);
    clock.after(shortest + random.fraction() * (longest - shortest), once);
  };
  while (clock.now() < until) {
    inject();
    if (random.fraction() < 0.5) inject();
    await sleep(clock, 1_000 + random.fraction() * 6_000);
  }
  for (const end of [...ends]) end();
  world.network.healAll();
  return injected;
}
