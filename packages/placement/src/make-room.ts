/**
 * Frees memory for a model that fits nowhere: unloads redundant copies first, then relocates other
 * copies.
 */
import type { Mebibytes } from "@linkfall/types";
import type { ModelView, PoolView } from "./pool-view.js";
import type {
  Accelerator,
  ArtifactCopy,
  PlacementConstraints,
  WorkingPool,
} from "./working-pool.js";

/** Returns the redundant copies on an accelerator, largest first. */
export function redundantCopies(
  pool: WorkingPool,
  accelerator: Accelerator,
): readonly ArtifactCopy[] {
  if (!accelerator.engineView.acceptsOrders) return [];
  return accelerator.copies
    .filter((copy) => isRedundant(pool, copy))
    .sort((a, b) => b.sizeMb - a.sizeMb);
}

/**
 * Returns whether another copy serves the artifact, and its adapters, once this one is unloaded.
 */
export function isRedundant(pool: WorkingPool, copy: ArtifactCopy): boolean {
  if (copy.state !== "ready") return false;
  const others = pool.readyCopies(copy.artifact).filter((other) => other !== copy);
  if (others.length === 0) return false;
  if (!copy.artifact.startsWith("model:")) return hasBaseModel(others);
  return colocatedAdapters(copy).every((adapter) => isServedElsewhere(pool, adapter, others));
}

/** Returns whether one of the adapter copies has a ready model copy on the same accelerator. */
function hasBaseModel(adapterCopies: readonly ArtifactCopy[]): boolean {
  return adapterCopies.some((adapter) =>
    adapter.accelerator.copies.some(
      (copy) => copy.artifact.startsWith("model:") && copy.state === "ready",
    ),
  );
}

function colocatedAdapters(copy: ArtifactCopy): readonly ArtifactCopy[] {
  return copy.accelerator.copies.filter(
    (other) => other.artifact.startsWith("adapter:") && other.state === "ready",
  );
}

/**
 * Returns whether the adapter is also served next to another copy of the model. The adapter may
 * belong to another model on this accelerator, which is not affected.
 */
function isServedElsewhere(
  pool: WorkingPool,
  adapter: ArtifactCopy,
  bases: readonly ArtifactCopy[],
): boolean {
  const elsewhere = pool.readyCopies(adapter.artifact).filter((copy) => copy !== adapter);
  return elsewhere.some((copy) => bases.some((base) => base.accelerator === copy.accelerator));
}

/** Returns the memory available once redundant copies and those being unloaded are gone. */
function reclaimableMb(pool: WorkingPool, accelerator: Accelerator): Mebibytes {
  const redundantMb = redundantCopies(pool, accelerator).reduce(
    (sum, copy) => sum + copy.sizeMb,
    0,
  );
  return accelerator.freeMb + accelerator.pendingFreeMb + redundantMb;
}

/**
 * Starts to free memory; the load follows in a later plan, after the unloads are confirmed.
 *
 * @returns false if no memory can be freed
 */
export function makeRoom(
  pool: WorkingPool,
  input: PoolView,
  constraints: PlacementConstraints,
): boolean {
  const candidates = pool.accelerators.filter(
    (accelerator) => accelerator.engineView.acceptsOrders && accelerator.engineView.available,
  );
  const freeingSoon = candidates.find(
    (accelerator) => accelerator.freeMb + accelerator.pendingFreeMb >= constraints.sizeMb,
  );
  if (freeingSoon) {
    pool.reserve(freeingSoon, constraints.sizeMb);
    return true;
  }
  return (
    unloadRedundantCopies(pool, candidates, constraints) ||
    relocateCopy(pool, input, candidates, constraints)
  );
}

function unloadRedundantCopies(
  pool: WorkingPool,
  candidates: readonly Accelerator[],
  constraints: PlacementConstraints,
): boolean {
  const sufficient = candidates
    .filter((accelerator) => reclaimableMb(pool, accelerator) >= constraints.sizeMb)
    .sort((a, b) => b.freeMb - a.freeMb);
  const accelerator = sufficient[0];
  if (!accelerator) return false;
  for (;;) {
    if (accelerator.freeMb + accelerator.pendingFreeMb >= constraints.sizeMb) break;
    const redundantCopy = redundantCopies(pool, accelerator)[0];
    if (!redundantCopy) return false;
    pool.unload(redundantCopy, "make_room");
  }
  pool.reserve(accelerator, constraints.sizeMb);
  return true;
}

/** Loads a second copy of a model elsewhere, which makes the first one redundant. */
function relocateCopy(
  pool: WorkingPool,
  input: PoolView,
  candidates: readonly Accelerator[],
  constraints: PlacementConstraints,
): boolean {
  const declaredModels = new Map(
    input.models.map((view) => [`model:${view.model.name}@${view.model.version}`, view]),
  );
  const relocatable = candidates
    .flatMap((accelerator) => accelerator.copies)
    .filter((copy) => copy.state === "ready" && declaredModels.has(copy.artifact))
    .filter(
      (copy) =>
        reclaimableMb(pool, copy.accelerator) + memoryWithAdapters(declaredModels, copy) >=
        constraints.sizeMb,
    )
    .sort((a, b) => memoryWithAdapters(declaredModels, a) - memoryWithAdapters(declaredModels, b));
  for (const copy of relocatable) {
    const sizeMb = memoryWithAdapters(declaredModels, copy);
    const destination = pool
      .findAccelerators({ sizeMb, excludedArtifacts: [copy.artifact] })
      .find((accelerator) => accelerator !== copy.accelerator);
    if (!destination) continue;
    pool.load(destination, copy.artifact, copy.sizeMb, "make_room");
    pool.reserve(copy.accelerator, Math.min(constraints.sizeMb, copy.accelerator.freeMb));
    return true;
  }
  return false;
}

function memoryWithAdapters(
  declaredModels: ReadonlyMap<string, ModelView>,
  copy: ArtifactCopy,
): Mebibytes {
  const adapters = declaredModels.get(copy.artifact)?.adapters ?? [];
  return adapters.reduce((sum, adapter) => sum + adapter.sizeMb, copy.sizeMb);
}
