/** Faults of boxes and of the links between them. */
import { pick } from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import type { Milliseconds } from "@linkfall/types";
import { boxNames } from "./resources.js";
import type { World, WorldBox } from "./world.js";

const minUndisturbedBoxes = 2;
/** Lease, margin and the time that a rival needs to claim. */
const pausePastLeaseMs: Milliseconds = 7_000;

/** Ends a fault. */
export type EndFault = () => void;
export type InjectFault = (world: World) => EndFault;

export const nothingToEnd: EndFault = () => undefined;

/** A box that may be disturbed; the last ones are left alone. */
function pickDisturbableBox(world: World): WorldBox | undefined {
  const candidates = world.boxes.filter(
    (box) => box.process.state() === "running" && !box.draining,
  );
  return candidates.length > minUndisturbedBoxes ? pick(world.random, candidates) : undefined;
}

/** Marks boxes as disturbed until the answered function is called. */
export function markDisturbed(world: World, ...boxes: readonly WorldBox[]): EndFault {
  const changeCount = (change: number) => {
    for (const box of boxes) {
      box.disturbances += change;
      box.disturbedAt = world.clock.now();
    }
  };
  changeCount(1);
  return () => changeCount(-1);
}

export function killBox(world: World): EndFault {
  const box = pickDisturbableBox(world);
  if (!box) return nothingToEnd;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Every box, or every box but one, is replaced at the same moment. */
export function replaceBoxes(world: World): EndFault {
  const running = world.boxes.filter((box) => box.process.state() === "running" && !box.draining);
  const replaced = running.slice(world.random.nextInt(2));
  for (const box of replaced) world.removeBox(box);
  return () => {
    for (const box of replaced) void world.startBox(box.name);
  };
}

export function pauseBox(world: World): EndFault {
  const box = pickDisturbableBox(world);
  if (!box) return nothingToEnd;
  const endDisturbance = markDisturbed(world, box);
  box.process.pause();
  return () => {
    endDisturbance();
    box.process.resume();
  };
}

/** The box that gives the orders, if it may be disturbed. */
function findLeaseHolder(world: World): WorldBox | undefined {
  const candidates = world.boxes.filter(
    (box) => box.process.state() === "running" && !box.draining,
  );
  if (candidates.length <= minUndisturbedBoxes) return undefined;
  return candidates.find((box) => box.box.kernel.find(leaseHolderName).heldLeases().length > 0);
}

export function killHolder(world: World): EndFault {
  const box = findLeaseHolder(world);
  if (!box) return nothingToEnd;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Paused past its lease, so that it wakes up without knowing that another box holds it. */
export function pauseHolder(world: World): EndFault {
  const box = findLeaseHolder(world);
  if (!box) return nothingToEnd;
  const endDisturbance = markDisturbed(world, box);
  box.process.pause();
  let ended = false;
  const resumeOnce = () => {
    if (ended) return;
    ended = true;
    endDisturbance();
    box.process.resume();
  };
  world.clock.after(pausePastLeaseMs, resumeOnce);
  return nothingToEnd;
}

export function drainBox(world: World): EndFault {
  const box = pickDisturbableBox(world);
  if (!box) return nothingToEnd;
  markDisturbed(world, box);
  box.draining = true;
  world.list.set({ box: box.name, peerAddress: box.peerAddress, state: "leaving" });
  const drained = box.box.drain().then(() => {
    if (box.process.state() === "running") world.removeBox(box);
  });
  return () => void drained.then(() => world.startBox(box.name));
}

export function cutFrom(endpoint: string): InjectFault {
  return (world) => {
    const box = pickDisturbableBox(world);
    if (!box) return nothingToEnd;
    // Not a disturbance: what such a box needs comes to it through the others.
    world.network.cut(box.name, endpoint);
    return () => world.network.heal(box.name, endpoint);
  };
}

/** Messages from one box to another are lost, but not those the other way. */
export function cutOneWay(world: World): EndFault {
  const [one, two] = [pickDisturbableBox(world), pickDisturbableBox(world)];
  if (!one || !two) return nothingToEnd;
  world.network.cut(one.name, two.name);
  return () => world.network.heal(one.name, two.name);
}

export function isolateBox(world: World): EndFault {
  const box = pickDisturbableBox(world);
  if (!box) return nothingToEnd;
  const endDisturbance = markDisturbed(world, box);
  box.isolatedSince = world.clock.now();
  const endpoints = ["log", "list", ...boxNames];
  for (const endpoint of endpoints) {
    world.network.cut(box.name, endpoint);
    world.network.cut(endpoint, box.name);
  }
  return () => {
    endDisturbance();
    box.isolatedSince = undefined;
    for (const endpoint of endpoints) {
      world.network.heal(box.name, endpoint);
      world.network.heal(endpoint, box.name);
    }
  };
}
