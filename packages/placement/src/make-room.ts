/** Makes room for a model that fits nowhere: spare copies go first, then single copies are moved. */
import type { Mebibytes } from "@linkfall/types";
import type { ModelView, PoolView } from "./pool-view.js";
import type {
  ArtifactCopy,
  PlacementConstraints,
  Accelerator,
  WorkingPool,
} from "./working-pool.js";

/** Ready copies of a slot that are not the last ones of what they serve, cheapest to lose first. */
export function redundantCopies(pool: WorkingPool, slot: Accelerator): readonly ArtifactCopy[] {
  if (!slot.engineView.acceptsOrders) return [];
  return slot.copies.filter((copy) => isRedundant(pool, copy)).sort((a, b) => b.sizeMb - a.sizeMb);
}

/** Whether another copy serves while this one goes, its adapters included. */
export function isRedundant(pool: WorkingPool, copy: ArtifactCopy): boolean {
  if (copy.state !== "ready") return false;
  const others = pool.readyCopies(copy.artifact).filter((other) => other !== copy);
  if (others.length === 0) return false;
  if (!copy.artifact.startsWith("model:")) return hasBaseModel(others);
  return colocatedAdapters(copy).every((adapter) => isServedElsewhere(pool, adapter, others));
}

/** An adapter's copy serves only where a model copy stands beside it. */
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

/** An adapter may belong to another model of this slot; then the model's going does not touch it. */
function isServedElsewhere(
  pool: WorkingPool,
  adapter: ArtifactCopy,
  bases: readonly ArtifactCopy[],
): boolean {
  const elsewhere = pool.readyCopies(adapter.artifact).filter((copy) => copy !== adapter);
  return elsewhere.some((copy) => bases.some((base) => base.accelerator === copy.accelerator));
}

/** Memory that would be free on a slot, without its spare copies and those under way out. */
function reclaimableMb(pool: WorkingPool, slot: Accelerator): Mebibytes {
  const spare = redundantCopies(pool, slot).reduce((sum, copy) => sum + copy.sizeMb, 0);
  return slot.freeMb + slot.pendingFreeMb + spare;
}

/**
 * Starts making room; the load itself follows in a later plan, once the unloads are confirmed.
 *
 * @returns false when nothing can be done
 */
export function makeRoom(pool: WorkingPool, input: PoolView, wish: PlacementConstraints): boolean {
  const open = pool.accelerators.filter(
    (slot) => slot.engineView.acceptsOrders && slot.engineView.available,
  );
  const soon = open.find((slot) => slot.freeMb + slot.pendingFreeMb >= wish.sizeMb);
  if (soon) {
    pool.reserve(soon, wish.sizeMb);
    return true;
  }
  return unloadRedundantCopies(pool, open, wish) || relocateCopy(pool, input, open, wish);
}

function unloadRedundantCopies(
  pool: WorkingPool,
  open: readonly Accelerator[],
  wish: PlacementConstraints,
): boolean {
  const enough = open
    .filter((slot) => reclaimableMb(pool, slot) >= wish.sizeMb)
    .sort((a, b) => b.freeMb - a.freeMb);
  const slot = enough[0];
  if (!slot) return false;
  for (;;) {
    if (slot.freeMb + slot.pendingFreeMb >= wish.sizeMb) break;
    const spare = redundantCopies(pool, slot)[0];
    if (!spare) return false;
    pool.unload(spare, "make_room");
  }
  pool.reserve(slot, wish.sizeMb);
  return true;
}

/** Loads a second copy of one model elsewhere, so that the first becomes spare. */
function relocateCopy(
  pool: WorkingPool,
  input: PoolView,
  open: readonly Accelerator[],
  wish: PlacementConstraints,
): boolean {
  const declared = new Map(
    input.models.map((view) => [`model:${view.model.name}@${view.model.version}`, view]),
  );
  const candidates = open
    .flatMap((slot) => slot.copies)
    .filter((copy) => copy.state === "ready" && declared.has(copy.artifact))
    .filter(
      (copy) => reclaimableMb(pool, copy.accelerator) + footprintOf(declared, copy) >= wish.sizeMb,
    )
    .sort((a, b) => footprintOf(declared, a) - footprintOf(declared, b));
  for (const copy of candidates) {
    const sizeMb = footprintOf(declared, copy);
    const place = pool
      .findAccelerators({ sizeMb, excludedArtifacts: [copy.artifact] })
      .find((slot) => slot !== copy.accelerator);
    if (!place) continue;
    pool.load(place, copy.artifact, copy.sizeMb, "make_room");
    pool.reserve(copy.accelerator, Math.min(wish.sizeMb, copy.accelerator.freeMb));
    return true;
  }
  return false;
}

function footprintOf(declared: ReadonlyMap<string, ModelView>, copy: ArtifactCopy): Mebibytes {
  const adapters = declared.get(copy.artifact)?.adapters ?? [];
  return adapters.reduce((sum, adapter) => sum + adapter.sizeMb, copy.sizeMb);
}
