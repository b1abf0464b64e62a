/** Makes room for a model that fits nowhere: spare copies go first, then single copies are moved. */
import type { Mebibytes } from "@linkfall/types";
import type { ModelView, PoolView } from "./pool-view.js";
import type { Copy, PlaceWish, Slot, WorkingPool } from "./working-pool.js";

/** Ready copies of a slot that are not the last ones of what they serve, cheapest to lose first. */
export function spareCopies(pool: WorkingPool, slot: Slot): readonly Copy[] {
  if (!slot.view.orderable) return [];
  return slot.copies.filter((copy) => isSpare(pool, copy)).sort((a, b) => b.sizeMb - a.sizeMb);
}

/** Whether another copy serves while this one goes, its adapters included. */
export function isSpare(pool: WorkingPool, copy: Copy): boolean {
  if (copy.state !== "ready") return false;
  const others = pool.readyCopies(copy.artifact).filter((other) => other !== copy);
  if (others.length === 0) return false;
  if (!copy.artifact.startsWith("model:")) return hasBase(others);
  return adaptersBeside(copy).every((adapter) => isServedApartFrom(pool, adapter, others));
}

/** An adapter's copy serves only where a model copy stands beside it. */
function hasBase(adapterCopies: readonly Copy[]): boolean {
  return adapterCopies.some((adapter) =>
    adapter.slot.copies.some(
      (copy) => copy.artifact.startsWith("model:") && copy.state === "ready",
    ),
  );
}

function adaptersBeside(copy: Copy): readonly Copy[] {
  return copy.slot.copies.filter(
    (other) => other.artifact.startsWith("adapter:") && other.state === "ready",
  );
}

/** An adapter may belong to another model of this slot; then the model's going does not touch it. */
function isServedApartFrom(pool: WorkingPool, adapter: Copy, bases: readonly Copy[]): boolean {
  const elsewhere = pool.readyCopies(adapter.artifact).filter((copy) => copy !== adapter);
  return elsewhere.some((copy) => bases.some((base) => base.slot === copy.slot));
}

/** Memory that would be free on a slot, without its spare copies and those under way out. */
function reachableMb(pool: WorkingPool, slot: Slot): Mebibytes {
  const spare = spareCopies(pool, slot).reduce((sum, copy) => sum + copy.sizeMb, 0);
  return slot.freeMb + slot.comingFreeMb + spare;
}

/**
 * Starts making room; the load itself follows in a later plan, once the unloads are confirmed.
 *
 * @returns false when nothing can be done
 */
export function makeRoom(pool: WorkingPool, input: PoolView, wish: PlaceWish): boolean {
  const open = pool.slots.filter((slot) => slot.view.orderable && slot.view.counted);
  const soon = open.find((slot) => slot.freeMb + slot.comingFreeMb >= wish.sizeMb);
  if (soon) {
    pool.reserve(soon, wish.sizeMb);
    return true;
  }
  return unloadSpares(pool, open, wish) || relocateOne(pool, input, open, wish);
}

function unloadSpares(pool: WorkingPool, open: readonly Slot[], wish: PlaceWish): boolean {
  const enough = open
    .filter((slot) => reachableMb(pool, slot) >= wish.sizeMb)
    .sort((a, b) => b.freeMb - a.freeMb);
  const slot = enough[0];
  if (!slot) return false;
  for (;;) {
    if (slot.freeMb + slot.comingFreeMb >= wish.sizeMb) break;
    const spare = spareCopies(pool, slot)[0];
    if (!spare) return false;
    pool.unload(spare, "make_room");
  }
  pool.reserve(slot, wish.sizeMb);
  return true;
}

/** Loads a second copy of one model elsewhere, so that the first becomes spare. */
function relocateOne(
  pool: WorkingPool,
  input: PoolView,
  open: readonly Slot[],
  wish: PlaceWish,
): boolean {
  const declared = new Map(
    input.models.map((view) => [`model:${view.model.name}@${view.model.version}`, view]),
  );
  const candidates = open
    .flatMap((slot) => slot.copies)
    .filter((copy) => copy.state === "ready" && declared.has(copy.artifact))
    .filter((copy) => reachableMb(pool, copy.slot) + footprintOf(declared, copy) >= wish.sizeMb)
    .sort((a, b) => footprintOf(declared, a) - footprintOf(declared, b));
  for (const copy of candidates) {
    const sizeMb = footprintOf(declared, copy);
    const place = pool
      .placesFor({ sizeMb, notBeside: [copy.artifact] })
      .find((slot) => slot !== copy.slot);
    if (!place) continue;
    pool.load(place, copy.artifact, copy.sizeMb, "make_room");
    pool.reserve(copy.slot, Math.min(wish.sizeMb, copy.slot.freeMb));
    return true;
  }
  return false;
}

function footprintOf(declared: ReadonlyMap<string, ModelView>, copy: Copy): Mebibytes {
  const adapters = declared.get(copy.artifact)?.adapters ?? [];
  return adapters.reduce((sum, adapter) => sum + adapter.sizeMb, copy.sizeMb);
}
