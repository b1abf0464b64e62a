/** Faults of boxes and of their network links. */
import { pick } from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import type { Milliseconds } from "@linkfall/types";
import { boxNames } from "./resources.js";
import type { World, WorldBox } from "./world.js";

/** A fault is injected into a box only if more boxes than this are running. */
const minUndisturbedBoxes = 2;
/** Exceeds the lease, its margin and the time in which another box claims it. */
const pausePastLeaseMs: Milliseconds = 7_000;

/** Ends an injected fault. */
export type EndFault = () => void;
/** Injects a fault and returns the function that ends it. */
export type InjectFault = (world: World) => EndFault;

/** For faults that have not been injected or that end on their own. */
export const nothingToEnd: EndFault = () => undefined;

/** Picks a running box for a fault, or none if too few boxes are running. */
function pickDisturbableBox(world: World): WorldBox | undefined {
  const candidates = world.boxes.filter(
    (box) => box.process.state() === "running" && !box.draining,
  );
  return candidates.length > minUndisturbedBoxes ? pick(world.random, candidates) : undefined;
}

/** Marks boxes as disturbed until the returned function is called. */
export function markDisturbed(world: World, ...boxes: readonly WorldBox[]): EndFault {
  const adjustDisturbances = (change: number) => {
    for (const box of boxes) {
      box.disturbances += change;
      box.disturbedAt = world.clock.now();
    }
  };
  adjustDisturbances(1);
  return () => adjustDisturbances(-1);
}

export function killBox(world: World): EndFault {
  const box = pickDisturbableBox(world);
  if (!box) return nothingToEnd;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Removes all boxes, or all but one, at once and restarts them later. */
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

/** Finds the lease holder, or none if too few boxes are running. */
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

/** Pauses the lease holder beyond its lease; it resumes after another box may have claimed the lease. */
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
    // Not marked as a disturbance: the box still receives records and reports through other boxes.
    world.network.cut(box.name, endpoint);
    return () => world.network.heal(box.name, endpoint);
  };
}

/** Drops messages from one box to another, but not in the opposite direction. */
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
