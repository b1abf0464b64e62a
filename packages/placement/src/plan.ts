/**
 * Plans the next moves of a pool. The plan is small and made anew each time from what is there: it
 * never starts from an empty table, so at steady demand there is nothing to move.
 */
import { capacityOf } from "@linkfall/ledger";
import { adapterArtifact, type Adapter, type Mebibytes, modelArtifact } from "@linkfall/types";
import { planDemand } from "./demand.js";
import { makeRoom, spareCopies } from "./make-room.js";
import { moveCauses, type ModelView, type Plan, type PoolView } from "./pool-view.js";
import { type Copy, createWorkingPool, type Slot, type WorkingPool } from "./working-pool.js";

const modelPrefix = "model:";

/** Artifact of the version that operators want. */
export function currentArtifact(view: ModelView): string {
  return modelArtifact(view.model.name, view.model.version);
}

/** Memory of a model with all of its adapters. */
function footprint(view: ModelView): Mebibytes {
  return view.adapters.reduce((sum, adapter) => sum + adapter.sizeMb, view.model.sizeMb);
}

/** Models by need: priority first, then demand, then name, so that every holder agrees. */
function byNeed(a: ModelView, b: ModelView): number {
  return (
    b.model.priority - a.model.priority ||
    b.demandShare - a.demandShare ||
    (a.model.name < b.model.name ? -1 : 1)
  );
}

/** Loads one more copy of a model; false when there is no room even after making some. */
function placeModel(
  pool: WorkingPool,
  input: PoolView,
  view: ModelView,
  cause: "reachability" | "min_replicas" | "adapter" | "new_version" | "role",
): boolean {
  const artifact = currentArtifact(view);
  const notBeside = [artifact];
  const withAdapters = pool.placesFor({ sizeMb: footprint(view), notBeside });
  const alone =
    withAdapters.length > 0 ? [] : pool.placesFor({ sizeMb: view.model.sizeMb, notBeside });
  const slot = withAdapters[0] ?? (cause === "adapter" ? undefined : alone[0]);
  if (slot) {
    pool.load(slot, artifact, view.model.sizeMb, cause);
    return true;
  }
  const urgent = cause === "reachability" || cause === "new_version" || cause === "adapter";
  return urgent && makeRoom(pool, input, { sizeMb: view.model.sizeMb, notBeside });
}

function planReachability(pool: WorkingPool, input: PoolView): readonly string[] {
  const unplaceable: string[] = [];
  const missing = input.models.filter(
    (view) => pool.standingCopies(currentArtifact(view)).length === 0,
  );
  for (const view of [...missing].sort(byNeed)) {
    const oldServes = oldVersions(pool, view).some((copy) => copy.slot.view.counted);
    const cause = oldServes ? "new_version" : "reachability";
    if (!placeModel(pool, input, view, cause)) unplaceable.push(view.model.name);
  }
  return unplaceable;
}

function planMinReplicas(pool: WorkingPool, input: PoolView): void {
  for (const view of [...input.models].sort(byNeed)) {
    const standing = pool.standingCopies(currentArtifact(view)).length;
    for (let count = standing; count > 0 && count < view.model.minReplicas; count++) {
      if (!placeModel(pool, input, view, "min_replicas")) break;
    }
  }
}

/** Copies of this model's other versions. */
function oldVersions(pool: WorkingPool, view: ModelView): readonly Copy[] {
  const start = modelArtifact(view.model.name, "");
  const current = currentArtifact(view);
  return pool.slots.flatMap((slot) =>
    slot.copies.filter((copy) => copy.artifact.startsWith(start) && copy.artifact !== current),
  );
}

function hasCopy(slot: Slot, artifact: string): boolean {
  return slot.copies.some((copy) => copy.artifact === artifact && copy.state !== "going");
}

/** Loads an adapter beside a ready copy of its model that has none yet. */
function placeAdapter(pool: WorkingPool, input: PoolView, view: ModelView, adapter: Adapter): void {
  const artifact = adapterArtifact(adapter.name, adapter.version);
  const bases = pool.readyCopies(currentArtifact(view));
  if (bases.some((base) => hasCopy(base.slot, artifact))) return;
  const open = bases
    .filter((base) => base.slot.view.orderable && base.slot.freeMb >= adapter.sizeMb)
    .sort((a, b) => b.slot.freeMb - a.slot.freeMb);
  if (open.length > 0) {
    pool.load(open[0].slot, artifact, adapter.sizeMb, "adapter");
    return;
  }
  const comingWithRoom = pool
    .standingCopies(currentArtifact(view))
    .some((copy) => copy.state === "coming" && copy.slot.freeMb >= adapter.sizeMb);
  if (bases.length > 0 && !comingWithRoom) placeModel(pool, input, view, "adapter");
}

function planAdapters(pool: WorkingPool, input: PoolView): void {
  for (const view of [...input.models].sort(byNeed)) {
    for (const adapter of view.adapters) placeAdapter(pool, input, view, adapter);
  }
}

/** An old version goes once the new one serves and its adapters do. */
function planOldVersions(pool: WorkingPool, input: PoolView): void {
  for (const view of input.models) {
    const ready = pool.readyCopies(currentArtifact(view)).length;
    const old = oldVersions(pool, view).filter((copy) => copy.state === "ready");
    if (old.length === 0 || ready === 0 || !adaptersServe(pool, view)) continue;
    // The number of serving copies does not fall under what the model is to have at the least.
    const surplus = ready + old.length - view.model.minReplicas;
    for (const copy of old.slice(0, Math.max(surplus, 0))) {
      if (copy.slot.view.orderable) pool.unload(copy, "old_version");
    }
  }
}

function adaptersServe(pool: WorkingPool, view: ModelView): boolean {
  const bases = pool.readyCopies(currentArtifact(view));
  return view.adapters.every((adapter) => {
    const artifact = adapterArtifact(adapter.name, adapter.version);
    return bases.some((base) =>
      base.slot.copies.some((copy) => copy.artifact === artifact && copy.state === "ready"),
    );
  });
}

/** What nobody declares any more, old adapter versions included once the new ones serve. */
function planUndeclared(pool: WorkingPool, input: PoolView): void {
  const declaredModels = new Set(input.models.map((view) => view.model.name));
  const wanted = new Set<string>();
  const rolling = new Set<string>();
  for (const view of input.models) {
    const served = adaptersServe(pool, view);
    for (const adapter of view.adapters) {
      wanted.add(adapterArtifact(adapter.name, adapter.version));
      if (!served) rolling.add(adapter.name);
    }
  }
  const nameOf = (artifact: string) =>
    artifact.slice(artifact.indexOf(":") + 1, artifact.lastIndexOf("@"));
  for (const copy of pool.slots.flatMap((slot) => slot.copies)) {
    if (copy.state !== "ready" || !copy.slot.view.orderable) continue;
    const isModel = copy.artifact.startsWith(modelPrefix);
    const keep = isModel
      ? declaredModels.has(nameOf(copy.artifact))
      : wanted.has(copy.artifact) || rolling.has(nameOf(copy.artifact));
    if (!keep) pool.unload(copy, "undeclared");
  }
}

/** Changes the role of engines; one that would not fit is first relieved of copies. */
function planRoles(pool: WorkingPool, input: PoolView): void {
  for (const view of input.engines) {
    const role = view.engine.role;
    if (role === view.role || view.roleOrdered || !view.orderable || !view.counted) continue;
    const slots = pool.slots.filter((slot) => slot.view === view);
    const lacking = (slot: Slot) => {
      const change =
        capacityOf(view.engine, slot.index, role) - slot.view.accelerators[slot.index].capacityMb;
      return -(slot.freeMb + change);
    };
    const full = slots.filter((slot) => lacking(slot) > 0);
    if (full.length === 0) {
      pool.moves.push({ kind: "role", engine: view.engine.name, role, cause: "role" });
      for (const slot of slots) slot.freeMb = Math.min(slot.freeMb, -lacking(slot));
      continue;
    }
    for (const slot of full) relieve(pool, input, slot, lacking(slot));
  }
}

/** Frees memory of a slot: spare copies go, others are loaded elsewhere first. */
function relieve(pool: WorkingPool, input: PoolView, slot: Slot, lackingMb: Mebibytes): void {
  let left = lackingMb - slot.comingFreeMb;
  for (const copy of spareCopies(pool, slot)) {
    if (left <= 0 || !input.limits.mayUnload) return;
    pool.unload(copy, "role");
    left -= copy.sizeMb;
  }
  if (left <= 0) return;
  const views = new Map(input.models.map((view) => [currentArtifact(view), view]));
  for (const copy of slot.copies) {
    const view = views.get(copy.artifact);
    if (!view || pool.standingCopies(copy.artifact).length > 1) continue;
    if (placeModel(pool, input, view, "role")) return;
  }
}

function byUrgency(plan: WorkingPool["moves"]): Plan["moves"] {
  const rank = new Map(moveCauses.map((cause, index) => [cause, index]));
  return [...plan].sort((a, b) => (rank.get(a.cause) ?? 0) - (rank.get(b.cause) ?? 0));
}

/** The next moves of a pool. */
export function planPool(input: PoolView): Plan {
  const pool = createWorkingPool(input);
  const unplaceable = planReachability(pool, input);
  planMinReplicas(pool, input);
  planAdapters(pool, input);
  planOldVersions(pool, input);
  planUndeclared(pool, input);
  planRoles(pool, input);
  planDemand(pool, input);
  const allowed = pool.moves.filter((move) => move.kind !== "unload" || input.limits.mayUnload);
  return { moves: byUrgency(allowed), unplaceable };
}
