/** The planner's scratch copy of a pool. Loads take memory at once, unloads give none back. */
import { invariant } from "@linkfall/errors";
import type { Mebibytes } from "@linkfall/types";
import type { EngineView, Move, MoveCause, PoolView } from "./pool-view.js";

/** State of an artifact on an accelerator in the planner's eyes. */
export type CopyState = "ready" | "coming" | "going";

/** One copy of an artifact. */
export interface Copy {
  readonly artifact: string;
  readonly sizeMb: Mebibytes;
  readonly slot: Slot;
  state: CopyState;
}

/** One accelerator. */
export interface Slot {
  readonly view: EngineView;
  readonly index: number;
  readonly copies: Copy[];
  freeMb: Mebibytes;
  /** Memory that unloads under way will give back. */
  comingFreeMb: Mebibytes;
}

/** What is asked of a place. */
export interface PlaceWish {
  readonly sizeMb: Mebibytes;
  /** Accelerators of engines that hold one of these already are passed over. */
  readonly notBeside: readonly string[];
}

export interface WorkingPool {
  readonly slots: readonly Slot[];
  readonly moves: Move[];
  /** All copies of an artifact. */
  copiesOf(artifact: string): readonly Copy[];
  /** Copies that serve now on engines that count. */
  readyCopies(artifact: string): readonly Copy[];
  /** Copies that serve now or soon on engines that count. */
  standingCopies(artifact: string): readonly Copy[];
  load(slot: Slot, artifact: string, sizeMb: Mebibytes, cause: MoveCause): void;
  unload(copy: Copy, cause: MoveCause): void;
  /** Slots on which the wish fits now, best first. */
  placesFor(wish: PlaceWish): readonly Slot[];
  /** Keeps memory that is free or soon free from being planned for something else. */
  reserve(slot: Slot, sizeMb: Mebibytes): void;
}

function copiesOfSlot(slot: Slot): Copy[] {
  const ledger = slot.view.accelerators[slot.index];
  const resident = ledger.residents.map((entry): Copy => {
    const going = entry.state === "unloading" || ledger.pendingUnloads.has(entry.artifact);
    const state = entry.state === "ready" ? "ready" : "coming";
    return { artifact: entry.artifact, sizeMb: entry.sizeMb, slot, state: going ? "going" : state };
  });
  const pending = ledger.pendingLoads.map((order): Copy => ({
    artifact: order.artifact,
    sizeMb: order.sizeMb,
    slot,
    state: "coming",
  }));
  return [...resident, ...pending];
}

function toSlots(view: EngineView): readonly Slot[] {
  return view.accelerators.map((ledger) => {
    const slot: Slot = {
      view,
      index: ledger.index,
      copies: [],
      freeMb: ledger.freeMb,
      comingFreeMb: 0,
    };
    slot.copies.push(...copiesOfSlot(slot));
    const going = slot.copies.filter((copy) => copy.state === "going");
    slot.comingFreeMb = going.reduce((sum, copy) => sum + copy.sizeMb, 0);
    return slot;
  });
}

/** Copies a pool for planning. */
export function createWorkingPool(pool: PoolView): WorkingPool {
  const slots = pool.engines.flatMap(toSlots);
  const moves: Move[] = [];
  const byArtifact = new Map<string, Copy[]>();
  const index = (copy: Copy) => {
    const list = byArtifact.get(copy.artifact) ?? [];
    list.push(copy);
    byArtifact.set(copy.artifact, list);
  };
  for (const slot of slots) slot.copies.forEach(index);

  const copiesOf = (artifact: string): readonly Copy[] => byArtifact.get(artifact) ?? [];
  const counted = (copy: Copy) => copy.slot.view.counted;
  const readyCopies = (artifact: string) =>
    copiesOf(artifact).filter((copy) => counted(copy) && copy.state === "ready");
  const standingCopies = (artifact: string) =>
    copiesOf(artifact).filter((copy) => counted(copy) && copy.state !== "going");

  /** Fewer copies in the domain first, then the engine with less to do, then the tightest fit. */
  const compareFor = (wish: PlaceWish) => {
    const holders = wish.notBeside.flatMap((artifact) => [...standingCopies(artifact)]);
    const inDomain = (slot: Slot) =>
      holders.filter((copy) => copy.slot.view.engine.domain === slot.view.engine.domain).length;
    const crowding = (slot: Slot) =>
      slot.view.utilisation + modelsOn(slot.view) / slot.view.accelerators.length / 10;
    return (a: Slot, b: Slot) =>
      inDomain(a) - inDomain(b) || crowding(a) - crowding(b) || a.freeMb - b.freeMb;
  };
  const modelsOn = (view: EngineView) =>
    slots
      .filter((slot) => slot.view === view)
      .reduce(
        (sum, slot) =>
          sum + slot.copies.filter((copy) => copy.artifact.startsWith("model:")).length,
        0,
      );

  const isOpen = (slot: Slot) => slot.view.orderable && slot.view.counted;
  const holdsAny = (slot: Slot, artifacts: readonly string[]) =>
    slots.some(
      (other) =>
        other.view === slot.view && other.copies.some((copy) => artifacts.includes(copy.artifact)),
    );

  return {
    slots,
    moves,
    copiesOf,
    readyCopies,
    standingCopies,
    load(slot, artifact, sizeMb, cause) {
      invariant(
        slot.freeMb >= sizeMb,
        "plan-fits",
        () => `${artifact} on ${slot.view.engine.name}`,
      );
      slot.freeMb -= sizeMb;
      const copy: Copy = { artifact, sizeMb, slot, state: "coming" };
      slot.copies.push(copy);
      index(copy);
      const { name: engine } = slot.view.engine;
      moves.push({ kind: "load", engine, accelerator: slot.index, artifact, sizeMb, cause });
    },
    unload(copy, cause) {
      copy.state = "going";
      copy.slot.comingFreeMb += copy.sizeMb;
      moves.push({
        kind: "unload",
        engine: copy.slot.view.engine.name,
        accelerator: copy.slot.index,
        artifact: copy.artifact,
        sizeMb: copy.sizeMb,
        cause,
      });
    },
    placesFor: (wish) =>
      slots
        .filter((slot) => isOpen(slot) && slot.freeMb >= wish.sizeMb)
        .filter((slot) => !holdsAny(slot, wish.notBeside))
        .sort(compareFor(wish)),
    reserve(slot, sizeMb) {
      const now = Math.max(0, Math.min(slot.freeMb, sizeMb));
      slot.freeMb -= now;
      slot.comingFreeMb -= sizeMb - now;
    },
  };
}
