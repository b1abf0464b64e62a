/** The faults of a run, drawn from its seed, alone and in pairs. */
import { pick, sleep } from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import { streams } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { boxNames, domains } from "./resources.js";
import type { World, WorldBox, WorldEngine } from "./world.js";

const shortest: Milliseconds = 1_500;
const longest: Milliseconds = 12_000;
const fewestBoxes = 2;
/** Lease, margin and the time that a rival needs to claim. */
const pastLeaseMs: Milliseconds = 7_000;

/** Ends a fault. */
type End = () => void;
type Fault = (world: World) => End;

const nothing: End = () => undefined;

/** A box that may be disturbed; the last ones are left alone. */
function someBox(world: World): WorldBox | undefined {
  const steady = world.boxes.filter((box) => box.process.state() === "running" && !box.draining);
  return steady.length > fewestBoxes ? pick(world.random, steady) : undefined;
}

/** Marks boxes as disturbed until the answered function is called. */
function disturb(world: World, ...boxes: readonly WorldBox[]): End {
  const mark = (change: number) => {
    for (const box of boxes) {
      box.disturbances += change;
      box.disturbedAt = world.clock.now();
    }
  };
  mark(1);
  return () => mark(-1);
}

function killBox(world: World): End {
  const box = someBox(world);
  if (!box) return nothing;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Every box, or every box but one, is replaced at the same moment. */
function replaceBoxes(world: World): End {
  const running = world.boxes.filter((box) => box.process.state() === "running" && !box.draining);
  const replaced = running.slice(world.random.below(2));
  for (const box of replaced) world.removeBox(box);
  return () => {
    for (const box of replaced) void world.startBox(box.name);
  };
}

function pauseBox(world: World): End {
  const box = someBox(world);
  if (!box) return nothing;
  const settled = disturb(world, box);
  box.process.pause();
  return () => {
    settled();
    box.process.resume();
  };
}

/** The box that gives the orders, if it may be disturbed. */
function holder(world: World): WorldBox | undefined {
  const steady = world.boxes.filter((box) => box.process.state() === "running" && !box.draining);
  if (steady.length <= fewestBoxes) return undefined;
  return steady.find((box) => box.box.kernel.find(leaseHolderName).heldPools().length > 0);
}

function killHolder(world: World): End {
  const box = holder(world);
  if (!box) return nothing;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Paused past its lease, so that it wakes up without knowing that another box holds it. */
function pauseHolder(world: World): End {
  const box = holder(world);
  if (!box) return nothing;
  const settled = disturb(world, box);
  box.process.pause();
  let ended = false;
  const wake = () => {
    if (ended) return;
    ended = true;
    settled();
    box.process.resume();
  };
  world.clock.after(pastLeaseMs, wake);
  return nothing;
}

function drainBox(world: World): End {
  const box = someBox(world);
  if (!box) return nothing;
  disturb(world, box);
  box.draining = true;
  world.list.set({ box: box.name, peerAddress: box.peerAddress, state: "leaving" });
  const drained = box.box.drain().then(() => {
    if (box.process.state() === "running") world.removeBox(box);
  });
  return () => void drained.then(() => world.startBox(box.name));
}

function cutFrom(place: string): Fault {
  return (world) => {
    const box = someBox(world);
    if (!box) return nothing;
    // Not a disturbance: what such a box needs comes to it through the others.
    world.network.cut(box.name, place);
    return () => world.network.heal(box.name, place);
  };
}

/** Messages from one box to another are lost, but not those the other way. */
function cutOneWay(world: World): End {
  const [one, two] = [someBox(world), someBox(world)];
  if (!one || !two) return nothing;
  world.network.cut(one.name, two.name);
  return () => world.network.heal(one.name, two.name);
}

function isolateBox(world: World): End {
  const box = someBox(world);
  if (!box) return nothing;
  const settled = disturb(world, box);
  box.isolatedSince = world.clock.now();
  const places = ["log", "list", ...boxNames];
  for (const place of places) {
    world.network.cut(box.name, place);
    world.network.cut(place, box.name);
  }
  return () => {
    settled();
    box.isolatedSince = undefined;
    for (const place of places) {
      world.network.heal(box.name, place);
      world.network.heal(place, box.name);
    }
  };
}

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
  world.weights.slow(3);
  return () => world.weights.slow(1);
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
