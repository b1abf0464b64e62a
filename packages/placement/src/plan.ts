/**
 * Plans the next moves of a pool. The plan is small and made anew each time from what is there: it
 * never starts from an empty table, so at steady demand there is nothing to move.
 */
import { weightCapacityMb } from "@linkfall/ledger";
import { adapterArtifact, type Adapter, type Mebibytes, modelArtifact } from "@linkfall/types";
import { planDemandReplicas } from "./demand.js";
import { makeRoom, redundantCopies } from "./make-room.js";
import { moveCauses, type ModelView, type Plan, type PoolView } from "./pool-view.js";
import {
  type ArtifactCopy,
  createWorkingPool,
  type Accelerator,
  type WorkingPool,
} from "./working-pool.js";

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
function byPriority(a: ModelView, b: ModelView): number {
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
  const withAdapters = pool.findAccelerators({
    sizeMb: footprint(view),
    excludedArtifacts: notBeside,
  });
  const alone =
    withAdapters.length > 0
      ? []
      : pool.findAccelerators({ sizeMb: view.model.sizeMb, excludedArtifacts: notBeside });
  const slot = withAdapters[0] ?? (cause === "adapter" ? undefined : alone[0]);
  if (slot) {
    pool.load(slot, artifact, view.model.sizeMb, cause);
    return true;
  }
  const urgent = cause === "reachability" || cause === "new_version" || cause === "adapter";
  return (
    urgent && makeRoom(pool, input, { sizeMb: view.model.sizeMb, excludedArtifacts: notBeside })
  );
}

function planMissingModels(pool: WorkingPool, input: PoolView): readonly string[] {
  const unplaceable: string[] = [];
  const missing = input.models.filter(
    (view) => pool.liveCopies(currentArtifact(view)).length === 0,
  );
  for (const view of [...missing].sort(byPriority)) {
    const oldServes = outdatedCopies(pool, view).some(
      (copy) => copy.accelerator.engineView.available,
    );
    const cause = oldServes ? "new_version" : "reachability";
    if (!placeModel(pool, input, view, cause)) unplaceable.push(view.model.name);
  }
  return unplaceable;
}

function planMinReplicas(pool: WorkingPool, input: PoolView): void {
  for (const view of [...input.models].sort(byPriority)) {
    const standing = pool.liveCopies(currentArtifact(view)).length;
    for (let count = standing; count > 0 && count < view.model.minReplicas; count++) {
      if (!placeModel(pool, input, view, "min_replicas")) break;
    }
  }
}

/** Copies of this model's other versions. */
function outdatedCopies(pool: WorkingPool, view: ModelView): readonly ArtifactCopy[] {
  const start = modelArtifact(view.model.name, "");
  const current = currentArtifact(view);
  return pool.accelerators.flatMap((slot) =>
    slot.copies.filter((copy) => copy.artifact.startsWith(start) && copy.artifact !== current),
  );
}

function hasLiveCopy(slot: Accelerator, artifact: string): boolean {
  return slot.copies.some((copy) => copy.artifact === artifact && copy.state !== "going");
}

/** Loads an adapter beside a ready copy of its model that has none yet. */
function placeAdapter(pool: WorkingPool, input: PoolView, view: ModelView, adapter: Adapter): void {
  const artifact = adapterArtifact(adapter.name, adapter.version);
  const bases = pool.readyCopies(currentArtifact(view));
  if (bases.some((base) => hasLiveCopy(base.accelerator, artifact))) return;
  const open = bases
    .filter(
      (base) =>
        base.accelerator.engineView.acceptsOrders && base.accelerator.freeMb >= adapter.sizeMb,
    )
    .sort((a, b) => b.accelerator.freeMb - a.accelerator.freeMb);
  if (open.length > 0) {
    pool.load(open[0].accelerator, artifact, adapter.sizeMb, "adapter");
    return;
  }
  const comingWithRoom = pool
    .liveCopies(currentArtifact(view))
    .some((copy) => copy.state === "coming" && copy.accelerator.freeMb >= adapter.sizeMb);
  if (bases.length > 0 && !comingWithRoom) placeModel(pool, input, view, "adapter");
}

function planAdapters(pool: WorkingPool, input: PoolView): void {
  for (const view of [...input.models].sort(byPriority)) {
    for (const adapter of view.adapters) placeAdapter(pool, input, view, adapter);
  }
}

/** An old version goes once the new one serves and its adapters do. */
function planOutdatedVersions(pool: WorkingPool, input: PoolView): void {
  for (const view of input.models) {
    const ready = pool.readyCopies(currentArtifact(view)).length;
    const old = outdatedCopies(pool, view).filter((copy) => copy.state === "ready");
    if (old.length === 0 || ready === 0 || !areAdaptersServed(pool, view)) continue;
    // The number of serving copies does not fall under what the model is to have at the least.
    const surplus = ready + old.length - view.model.minReplicas;
    for (const copy of old.slice(0, Math.max(surplus, 0))) {
      if (copy.accelerator.engineView.acceptsOrders) pool.unload(copy, "old_version");
    }
  }
}

function areAdaptersServed(pool: WorkingPool, view: ModelView): boolean {
  const bases = pool.readyCopies(currentArtifact(view));
  return view.adapters.every((adapter) => {
    const artifact = adapterArtifact(adapter.name, adapter.version);
    return bases.some((base) =>
      base.accelerator.copies.some((copy) => copy.artifact === artifact && copy.state === "ready"),
    );
  });
}

/** What nobody declares any more, old adapter versions included once the new ones serve. */
function planUndeclaredArtifacts(pool: WorkingPool, input: PoolView): void {
  const declaredModels = new Set(input.models.map((view) => view.model.name));
  const wanted = new Set<string>();
  const rolling = new Set<string>();
  for (const view of input.models) {
    const served = areAdaptersServed(pool, view);
    for (const adapter of view.adapters) {
      wanted.add(adapterArtifact(adapter.name, adapter.version));
      if (!served) rolling.add(adapter.name);
    }
  }
  const nameOf = (artifact: string) =>
    artifact.slice(artifact.indexOf(":") + 1, artifact.lastIndexOf("@"));
  for (const copy of pool.accelerators.flatMap((slot) => slot.copies)) {
    if (copy.state !== "ready" || !copy.accelerator.engineView.acceptsOrders) continue;
    const isModel = copy.artifact.startsWith(modelPrefix);
    const keep = isModel
      ? declaredModels.has(nameOf(copy.artifact))
      : wanted.has(copy.artifact) || rolling.has(nameOf(copy.artifact));
    if (!keep) pool.unload(copy, "undeclared");
  }
}

/** Changes the role of engines; one that would not fit is first relieved of copies. */
function planRoleChanges(pool: WorkingPool, input: PoolView): void {
  for (const view of input.engines) {
    const role = view.engine.role;
    if (role === view.role || view.roleChangePending || !view.acceptsOrders || !view.available)
      continue;
    const slots = pool.accelerators.filter((slot) => slot.engineView === view);
    const lacking = (slot: Accelerator) => {
      const change =
        weightCapacityMb(view.engine, slot.index, role) -
        slot.engineView.accelerators[slot.index].capacityMb;
      return -(slot.freeMb + change);
    };
    const full = slots.filter((slot) => lacking(slot) > 0);
    if (full.length === 0) {
      pool.moves.push({ kind: "role", engine: view.engine.name, role, cause: "role" });
      for (const slot of slots) slot.freeMb = Math.min(slot.freeMb, -lacking(slot));
      continue;
    }
    for (const slot of full) freeMemory(pool, input, slot, lacking(slot));
  }
}

/** Frees memory of a slot: spare copies go, others are loaded elsewhere first. */
function freeMemory(
  pool: WorkingPool,
  input: PoolView,
  slot: Accelerator,
  lackingMb: Mebibytes,
): void {
  let left = lackingMb - slot.pendingFreeMb;
  for (const copy of redundantCopies(pool, slot)) {
    if (left <= 0 || !input.limits.mayUnload) return;
    pool.unload(copy, "role");
    left -= copy.sizeMb;
  }
  if (left <= 0) return;
  const views = new Map(input.models.map((view) => [currentArtifact(view), view]));
  for (const copy of slot.copies) {
    const view = views.get(copy.artifact);
    if (!view || pool.liveCopies(copy.artifact).length > 1) continue;
    if (placeModel(pool, input, view, "role")) return;
  }
}

function sortByUrgency(plan: WorkingPool["moves"]): Plan["moves"] {
  const rank = new Map(moveCauses.map((cause, index) => [cause, index]));
  return [...plan].sort((a, b) => (rank.get(a.cause) ?? 0) - (rank.get(b.cause) ?? 0));
}

/** The next moves of a pool. */
export function planPool(input: PoolView): Plan {
  const pool = createWorkingPool(input);
  const unplaceable = planMissingModels(pool, input);
  planMinReplicas(pool, input);
  planAdapters(pool, input);
  planOutdatedVersions(pool, input);
  planUndeclaredArtifacts(pool, input);
  planRoleChanges(pool, input);
  planDemandReplicas(pool, input);
  const allowed = pool.moves.filter((move) => move.kind !== "unload" || input.limits.mayUnload);
  return { moves: sortByUrgency(allowed), unplaceable };
}
