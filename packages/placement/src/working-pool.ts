/** The planner's scratch copy of a pool. Loads take memory at once, unloads give none back. */
import { invariant } from "@linkfall/errors";
import type { Mebibytes } from "@linkfall/types";
import type { EngineView, Move, MoveCause, PoolView } from "./pool-view.js";

/** State of an artifact on an accelerator in the planner's eyes. */
export type CopyState = "ready" | "coming" | "going";

/** One copy of an artifact. */
export interface ArtifactCopy {
  readonly artifact: string;
  readonly sizeMb: Mebibytes;
  readonly accelerator: Accelerator;
  state: CopyState;
}

/** One accelerator. */
export interface Accelerator {
  readonly engineView: EngineView;
  readonly index: number;
  readonly copies: ArtifactCopy[];
  freeMb: Mebibytes;
  /** Memory that unloads under way will give back. */
  pendingFreeMb: Mebibytes;
}

/** What is asked of a place. */
export interface PlacementConstraints {
  readonly sizeMb: Mebibytes;
  /** Accelerators of engines that hold one of these already are passed over. */
  readonly excludedArtifacts: readonly string[];
}

export interface WorkingPool {
  readonly accelerators: readonly Accelerator[];
  readonly moves: Move[];
  /** All copies of an artifact. */
  copiesOf(artifact: string): readonly ArtifactCopy[];
  /** Copies that serve now on engines that count. */
  readyCopies(artifact: string): readonly ArtifactCopy[];
  /** Copies that serve now or soon on engines that count. */
  liveCopies(artifact: string): readonly ArtifactCopy[];
  load(slot: Accelerator, artifact: string, sizeMb: Mebibytes, cause: MoveCause): void;
  unload(copy: ArtifactCopy, cause: MoveCause): void;
  /** Slots on which the wish fits now, best first. */
  findAccelerators(wish: PlacementConstraints): readonly Accelerator[];
  /** Keeps memory that is free or soon free from being planned for something else. */
  reserve(slot: Accelerator, sizeMb: Mebibytes): void;
}

function copiesOnAccelerator(slot: Accelerator): ArtifactCopy[] {
  const ledger = slot.engineView.accelerators[slot.index];
  const resident = ledger.residents.map((entry): ArtifactCopy => {
    const going = entry.state === "unloading" || ledger.pendingUnloads.has(entry.artifact);
    const state = entry.state === "ready" ? "ready" : "coming";
    return {
      artifact: entry.artifact,
      sizeMb: entry.sizeMb,
      accelerator: slot,
      state: going ? "going" : state,
    };
  });
  const pending = ledger.pendingLoads.map((order): ArtifactCopy => ({
    artifact: order.artifact,
    sizeMb: order.sizeMb,
    accelerator: slot,
    state: "coming",
  }));
  return [...resident, ...pending];
}

function toAccelerators(view: EngineView): readonly Accelerator[] {
  return view.accelerators.map((ledger) => {
    const slot: Accelerator = {
      engineView: view,
      index: ledger.index,
      copies: [],
      freeMb: ledger.freeMb,
      pendingFreeMb: 0,
    };
    slot.copies.push(...copiesOnAccelerator(slot));
    const going = slot.copies.filter((copy) => copy.state === "going");
    slot.pendingFreeMb = going.reduce((sum, copy) => sum + copy.sizeMb, 0);
    return slot;
  });
}

/** Copies a pool for planning. */
export function createWorkingPool(pool: PoolView): WorkingPool {
  const slots = pool.engines.flatMap(toAccelerators);
  const moves: Move[] = [];
  const byArtifact = new Map<string, ArtifactCopy[]>();
  const index = (copy: ArtifactCopy) => {
    const list = byArtifact.get(copy.artifact) ?? [];
    list.push(copy);
    byArtifact.set(copy.artifact, list);
  };
  for (const slot of slots) slot.copies.forEach(index);

  const copiesOf = (artifact: string): readonly ArtifactCopy[] => byArtifact.get(artifact) ?? [];
  const counted = (copy: ArtifactCopy) => copy.accelerator.engineView.available;
  const readyCopies = (artifact: string) =>
    copiesOf(artifact).filter((copy) => counted(copy) && copy.state === "ready");
  const standingCopies = (artifact: string) =>
    copiesOf(artifact).filter((copy) => counted(copy) && copy.state !== "going");

  /** Fewer copies in the domain first, then the engine with less to do, then the tightest fit. */
  const compareFor = (wish: PlacementConstraints) => {
    const holders = wish.excludedArtifacts.flatMap((artifact) => [...standingCopies(artifact)]);
    const inDomain = (slot: Accelerator) =>
      holders.filter(
        (copy) => copy.accelerator.engineView.engine.domain === slot.engineView.engine.domain,
      ).length;
    const crowding = (slot: Accelerator) =>
      slot.engineView.utilisation +
      modelsOn(slot.engineView) / slot.engineView.accelerators.length / 10;
    return (a: Accelerator, b: Accelerator) =>
      inDomain(a) - inDomain(b) || crowding(a) - crowding(b) || a.freeMb - b.freeMb;
  };
  const modelsOn = (view: EngineView) =>
    slots
      .filter((slot) => slot.engineView === view)
      .reduce(
        (sum, slot) =>
          sum + slot.copies.filter((copy) => copy.artifact.startsWith("model:")).length,
        0,
      );

  const isOpen = (slot: Accelerator) => slot.engineView.acceptsOrders && slot.engineView.available;
  const holdsAny = (slot: Accelerator, artifacts: readonly string[]) =>
    slots.some(
      (other) =>
        other.engineView === slot.engineView &&
        other.copies.some((copy) => artifacts.includes(copy.artifact)),
    );

  return {
    accelerators: slots,
    moves,
    copiesOf,
    readyCopies,
    liveCopies: standingCopies,
    load(slot, artifact, sizeMb, cause) {
      invariant(
        slot.freeMb >= sizeMb,
        "plan-fits",
        () => `${artifact} on ${slot.engineView.engine.name}`,
      );
      slot.freeMb -= sizeMb;
      const copy: ArtifactCopy = { artifact, sizeMb, accelerator: slot, state: "coming" };
      slot.copies.push(copy);
      index(copy);
      const { name: engine } = slot.engineView.engine;
      moves.push({ kind: "load", engine, accelerator: slot.index, artifact, sizeMb, cause });
    },
    unload(copy, cause) {
      copy.state = "going";
      copy.accelerator.pendingFreeMb += copy.sizeMb;
      moves.push({
        kind: "unload",
        engine: copy.accelerator.engineView.engine.name,
        accelerator: copy.accelerator.index,
        artifact: copy.artifact,
        sizeMb: copy.sizeMb,
        cause,
      });
    },
    findAccelerators: (wish) =>
      slots
        .filter((slot) => isOpen(slot) && slot.freeMb >= wish.sizeMb)
        .filter((slot) => !holdsAny(slot, wish.excludedArtifacts))
        .sort(compareFor(wish)),
    reserve(slot, sizeMb) {
      const now = Math.max(0, Math.min(slot.freeMb, sizeMb));
      slot.freeMb -= now;
      slot.pendingFreeMb -= sizeMb - now;
    },
  };
}
