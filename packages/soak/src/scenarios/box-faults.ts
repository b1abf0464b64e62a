/** Faults of boxes and of the links between them. */
import { pick } from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import type { Milliseconds } from "@linkfall/types";
import { boxNames } from "./resources.js";
import type { World, WorldBox } from "./world.js";

const fewestBoxes = 2;
/** Lease, margin and the time that a rival needs to claim. */
const pastLeaseMs: Milliseconds = 7_000;

/** Ends a fault. */
export type End = () => void;
export type Fault = (world: World) => End;

export const nothing: End = () => undefined;

/** A box that may be disturbed; the last ones are left alone. */
function someBox(world: World): WorldBox | undefined {
  const steady = world.boxes.filter((box) => box.process.state() === "running" && !box.draining);
  return steady.length > fewestBoxes ? pick(world.random, steady) : undefined;
}

/** Marks boxes as disturbed until the answered function is called. */
export function disturb(world: World, ...boxes: readonly WorldBox[]): End {
  const mark = (change: number) => {
    for (const box of boxes) {
      box.disturbances += change;
      box.disturbedAt = world.clock.now();
    }
  };
  mark(1);
  return () => mark(-1);
}

export function killBox(world: World): End {
  const box = someBox(world);
  if (!box) return nothing;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Every box, or every box but one, is replaced at the same moment. */
export function replaceBoxes(world: World): End {
  const running = world.boxes.filter((box) => box.process.state() === "running" && !box.draining);
  const replaced = running.slice(world.random.nextInt(2));
  for (const box of replaced) world.removeBox(box);
  return () => {
    for (const box of replaced) void world.startBox(box.name);
  };
}

export function pauseBox(world: World): End {
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
  return steady.find((box) => box.box.kernel.find(leaseHolderName).heldLeases().length > 0);
}

export function killHolder(world: World): End {
  const box = holder(world);
  if (!box) return nothing;
  world.removeBox(box);
  return () => void world.startBox(box.name);
}

/** Paused past its lease, so that it wakes up without knowing that another box holds it. */
export function pauseHolder(world: World): End {
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

export function drainBox(world: World): End {
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

export function cutFrom(place: string): Fault {
  return (world) => {
    const box = someBox(world);
    if (!box) return nothing;
    // Not a disturbance: what such a box needs comes to it through the others.
    world.network.cut(box.name, place);
    return () => world.network.heal(box.name, place);
  };
}

/** Messages from one box to another are lost, but not those the other way. */
export function cutOneWay(world: World): End {
  const [one, two] = [someBox(world), someBox(world)];
  if (!one || !two) return nothing;
  world.network.cut(one.name, two.name);
  return () => world.network.heal(one.name, two.name);
}

export function isolateBox(world: World): End {
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
