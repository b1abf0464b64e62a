/**
 * Mutable state of a pool during planning. Loads reserve memory immediately; unloads only release
 * it once confirmed.
 */
import { invariant } from "@linkfall/errors";
import type { Mebibytes } from "@linkfall/types";
import type { EngineView, Move, MoveCause, PoolView } from "./pool-view.js";

/** Planned state of an artifact on an accelerator. */
export type CopyState = "ready" | "loading" | "unloading";

/** One copy of an artifact on an accelerator. */
export interface ArtifactCopy {
  readonly artifact: string;
  readonly sizeMb: Mebibytes;
  readonly accelerator: Accelerator;
  state: CopyState;
}

/** One accelerator of an engine, with its planned copies and free memory. */
export interface Accelerator {
  readonly engineView: EngineView;
  readonly index: number;
  readonly copies: ArtifactCopy[];
  freeMb: Mebibytes;
  /** Memory that pending unloads will release. */
  pendingFreeMb: Mebibytes;
}

/** Constraints on where an artifact may be loaded. */
export interface PlacementConstraints {
  readonly sizeMb: Mebibytes;
  /** Engines that hold any of these artifacts are excluded. */
  readonly excludedArtifacts: readonly string[];
}

export interface WorkingPool {
  readonly accelerators: readonly Accelerator[];
  readonly moves: Move[];
  /** All copies of an artifact. */
  copiesOf(artifact: string): readonly ArtifactCopy[];
  /** Copies that are ready on available engines. */
  readyCopies(artifact: string): readonly ArtifactCopy[];
  /** Copies that are ready or being loaded on available engines. */
  liveCopies(artifact: string): readonly ArtifactCopy[];
  load(accelerator: Accelerator, artifact: string, sizeMb: Mebibytes, cause: MoveCause): void;
  unload(copy: ArtifactCopy, cause: MoveCause): void;
  /** Returns the accelerators on which the artifact fits now, best first. */
  findAccelerators(constraints: PlacementConstraints): readonly Accelerator[];
  /** Reserves memory that is free or about to be released. */
  reserve(accelerator: Accelerator, sizeMb: Mebibytes): void;
}

function copiesOnAccelerator(accelerator: Accelerator): ArtifactCopy[] {
  const ledger = accelerator.engineView.accelerators[accelerator.index];
  const residentCopies = ledger.residents.map((resident): ArtifactCopy => {
    const isUnloading =
      resident.state === "unloading" || ledger.pendingUnloads.has(resident.artifact);
    const state = resident.state === "ready" ? "ready" : "loading";
    return {
      artifact: resident.artifact,
      sizeMb: resident.sizeMb,
      accelerator,
      state: isUnloading ? "unloading" : state,
    };
  });
  const pendingCopies = ledger.pendingLoads.map((order): ArtifactCopy => ({
    artifact: order.artifact,
    sizeMb: order.sizeMb,
    accelerator,
    state: "loading",
  }));
  return [...residentCopies, ...pendingCopies];
}

function toAccelerators(view: EngineView): readonly Accelerator[] {
  return view.accelerators.map((ledger) => {
    const accelerator: Accelerator = {
      engineView: view,
      index: ledger.index,
      copies: [],
      freeMb: ledger.freeMb,
      pendingFreeMb: 0,
    };
    accelerator.copies.push(...copiesOnAccelerator(accelerator));
    const unloading = accelerator.copies.filter((copy) => copy.state === "unloading");
    accelerator.pendingFreeMb = unloading.reduce((sum, copy) => sum + copy.sizeMb, 0);
    return accelerator;
  });
}

/** Creates the planning state of a pool. */
export function createWorkingPool(pool: PoolView): WorkingPool {
  const accelerators = pool.engines.flatMap(toAccelerators);
  const moves: Move[] = [];
  const byArtifact = new Map<string, ArtifactCopy[]>();
  const addToIndex = (copy: ArtifactCopy) => {
    const list = byArtifact.get(copy.artifact) ?? [];
    list.push(copy);
    byArtifact.set(copy.artifact, list);
  };
  for (const accelerator of accelerators) accelerator.copies.forEach(addToIndex);

  const copiesOf = (artifact: string): readonly ArtifactCopy[] => byArtifact.get(artifact) ?? [];
  const isAvailable = (copy: ArtifactCopy) => copy.accelerator.engineView.available;
  const readyCopies = (artifact: string) =>
    copiesOf(artifact).filter((copy) => isAvailable(copy) && copy.state === "ready");
  const liveCopies = (artifact: string) =>
    copiesOf(artifact).filter((copy) => isAvailable(copy) && copy.state !== "unloading");

  /**
   * Orders accelerators by copies in the same failure domain, then by load, then by free memory
   * (best fit).
   */
  const compareBy = (constraints: PlacementConstraints) => {
    const holders = constraints.excludedArtifacts.flatMap((artifact) => [...liveCopies(artifact)]);
    const inDomain = (accelerator: Accelerator) =>
      holders.filter(
        (copy) =>
          copy.accelerator.engineView.engine.domain === accelerator.engineView.engine.domain,
      ).length;
    const loadOf = (accelerator: Accelerator) =>
      accelerator.engineView.utilisation +
      modelsOn(accelerator.engineView) / accelerator.engineView.accelerators.length / 10;
    return (a: Accelerator, b: Accelerator) =>
      inDomain(a) - inDomain(b) || loadOf(a) - loadOf(b) || a.freeMb - b.freeMb;
  };
  const modelsOn = (view: EngineView) =>
    accelerators
      .filter((accelerator) => accelerator.engineView === view)
      .reduce(
        (sum, accelerator) =>
          sum + accelerator.copies.filter((copy) => copy.artifact.startsWith("model:")).length,
        0,
      );

  const canLoad = (accelerator: Accelerator) =>
    accelerator.engineView.acceptsOrders && accelerator.engineView.available;
  const holdsAny = (accelerator: Accelerator, artifacts: readonly string[]) =>
    accelerators.some(
      (other) =>
        other.engineView === accelerator.engineView &&
        other.copies.some((copy) => artifacts.includes(copy.artifact)),
    );

  return {
    accelerators,
    moves,
    copiesOf,
    readyCopies,
    liveCopies,
    load(accelerator, artifact, sizeMb, cause) {
      invariant(
        accelerator.freeMb >= sizeMb,
        "plan-fits",
        () => `${artifact} on ${accelerator.engineView.engine.name}`,
      );
      accelerator.freeMb -= sizeMb;
      const copy: ArtifactCopy = { artifact, sizeMb, accelerator, state: "loading" };
      accelerator.copies.push(copy);
      addToIndex(copy);
      const { name: engine } = accelerator.engineView.engine;
      moves.push({ kind: "load", engine, accelerator: accelerator.index, artifact, sizeMb, cause });
    },
    unload(copy, cause) {
      copy.state = "unloading";
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
    findAccelerators: (constraints) =>
      accelerators
        .filter((accelerator) => canLoad(accelerator) && accelerator.freeMb >= constraints.sizeMb)
        .filter((accelerator) => !holdsAny(accelerator, constraints.excludedArtifacts))
        .sort(compareBy(constraints)),
    reserve(accelerator, sizeMb) {
      const immediateMb = Math.max(0, Math.min(accelerator.freeMb, sizeMb));
      accelerator.freeMb -= immediateMb;
      accelerator.pendingFreeMb -= sizeMb - immediateMb;
    },
  };
}
