/**
 * Plans the next moves of a pool. Plans are incremental: each starts from the current state, and
 * there are no moves at steady demand.
 */
import { weightCapacityMb } from "@linkfall/ledger";
import { type Adapter, adapterArtifact, type Mebibytes, modelArtifact } from "@linkfall/types";
import { planDemandReplicas } from "./demand.js";
import { makeRoom, redundantCopies } from "./make-room.js";
import { type ModelView, moveCauses, type Plan, type PoolView } from "./pool-view.js";
import {
  type Accelerator,
  type ArtifactCopy,
  createWorkingPool,
  type WorkingPool,
} from "./working-pool.js";

const modelPrefix = "model:";

/** Returns the artifact of the declared version. */
export function currentArtifact(view: ModelView): string {
  return modelArtifact(view.model.name, view.model.version);
}

/** Returns the memory of a model with all of its adapters. */
function memoryWithAdapters(view: ModelView): Mebibytes {
  return view.adapters.reduce((sum, adapter) => sum + adapter.sizeMb, view.model.sizeMb);
}

/** Orders models by priority, then demand, then name; deterministic across lease holders. */
function byPriority(a: ModelView, b: ModelView): number {
  return (
    b.model.priority - a.model.priority ||
    b.demandShare - a.demandShare ||
    (a.model.name < b.model.name ? -1 : 1)
  );
}

/**
 * Loads another copy of a model; returns false if there is not enough memory and none can be freed.
 */
function placeModel(
  pool: WorkingPool,
  input: PoolView,
  view: ModelView,
  cause: "reachability" | "min_replicas" | "adapter" | "new_version" | "role",
): boolean {
  const artifact = currentArtifact(view);
  const excludedArtifacts = [artifact];
  const withAdapters = pool.findAccelerators({
    sizeMb: memoryWithAdapters(view),
    excludedArtifacts,
  });
  const withoutAdapters =
    withAdapters.length > 0
      ? []
      : pool.findAccelerators({ sizeMb: view.model.sizeMb, excludedArtifacts });
  const accelerator = withAdapters[0] ?? (cause === "adapter" ? undefined : withoutAdapters[0]);
  if (accelerator) {
    pool.load(accelerator, artifact, view.model.sizeMb, cause);
    return true;
  }
  const mayFreeMemory = cause === "reachability" || cause === "new_version" || cause === "adapter";
  return mayFreeMemory && makeRoom(pool, input, { sizeMb: view.model.sizeMb, excludedArtifacts });
}

function planMissingModels(pool: WorkingPool, input: PoolView): readonly string[] {
  const unplaceable: string[] = [];
  const missing = input.models.filter(
    (view) => pool.liveCopies(currentArtifact(view)).length === 0,
  );
  for (const view of [...missing].sort(byPriority)) {
    const isServedByOldVersion = outdatedCopies(pool, view).some(
      (copy) => copy.accelerator.engineView.available,
    );
    const cause = isServedByOldVersion ? "new_version" : "reachability";
    if (!placeModel(pool, input, view, cause)) unplaceable.push(view.model.name);
  }
  return unplaceable;
}

function planMinReplicas(pool: WorkingPool, input: PoolView): void {
  for (const view of [...input.models].sort(byPriority)) {
    const liveCount = pool.liveCopies(currentArtifact(view)).length;
    for (let count = liveCount; count > 0 && count < view.model.minReplicas; count++) {
      if (!placeModel(pool, input, view, "min_replicas")) break;
    }
  }
}

/** Returns the copies of other versions of this model. */
function outdatedCopies(pool: WorkingPool, view: ModelView): readonly ArtifactCopy[] {
  const prefix = modelArtifact(view.model.name, "");
  const current = currentArtifact(view);
  return pool.accelerators.flatMap((accelerator) =>
    accelerator.copies.filter(
      (copy) => copy.artifact.startsWith(prefix) && copy.artifact !== current,
    ),
  );
}

function hasLiveCopy(accelerator: Accelerator, artifact: string): boolean {
  return accelerator.copies.some(
    (copy) => copy.artifact === artifact && copy.state !== "unloading",
  );
}

/** Loads an adapter next to a ready copy of its model, unless one is already there. */
function placeAdapter(pool: WorkingPool, input: PoolView, view: ModelView, adapter: Adapter): void {
  const artifact = adapterArtifact(adapter.name, adapter.version);
  const bases = pool.readyCopies(currentArtifact(view));
  if (bases.some((base) => hasLiveCopy(base.accelerator, artifact))) return;
  const candidates = bases
    .filter(
      (base) =>
        base.accelerator.engineView.acceptsOrders && base.accelerator.freeMb >= adapter.sizeMb,
    )
    .sort((a, b) => b.accelerator.freeMb - a.accelerator.freeMb);
  if (candidates.length > 0) {
    pool.load(candidates[0].accelerator, artifact, adapter.sizeMb, "adapter");
    return;
  }
  const isLoadingWithRoom = pool
    .liveCopies(currentArtifact(view))
    .some((copy) => copy.state === "loading" && copy.accelerator.freeMb >= adapter.sizeMb);
  if (bases.length > 0 && !isLoadingWithRoom) placeModel(pool, input, view, "adapter");
}

function planAdapters(pool: WorkingPool, input: PoolView): void {
  for (const view of [...input.models].sort(byPriority)) {
    for (const adapter of view.adapters) placeAdapter(pool, input, view, adapter);
  }
}

/** Unloads outdated versions once the declared version and its adapters are ready. */
function planOutdatedVersions(pool: WorkingPool, input: PoolView): void {
  for (const view of input.models) {
    const readyCount = pool.readyCopies(currentArtifact(view)).length;
    const outdated = outdatedCopies(pool, view).filter((copy) => copy.state === "ready");
    if (outdated.length === 0 || readyCount === 0 || !areAdaptersServed(pool, view)) continue;
    // Keeps at least the minimum number of serving copies.
    const surplus = readyCount + outdated.length - view.model.minReplicas;
    for (const copy of outdated.slice(0, Math.max(surplus, 0))) {
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

/**
 * Unloads artifacts that are no longer declared, and outdated adapters once the new ones are ready.
 */
function planUndeclaredArtifacts(pool: WorkingPool, input: PoolView): void {
  const declaredModels = new Set(input.models.map((view) => view.model.name));
  const declaredAdapters = new Set<string>();
  const adaptersBeingUpdated = new Set<string>();
  for (const view of input.models) {
    const served = areAdaptersServed(pool, view);
    for (const adapter of view.adapters) {
      declaredAdapters.add(adapterArtifact(adapter.name, adapter.version));
      if (!served) adaptersBeingUpdated.add(adapter.name);
    }
  }
  const nameOf = (artifact: string) =>
    artifact.slice(artifact.indexOf(":") + 1, artifact.lastIndexOf("@"));
  for (const copy of pool.accelerators.flatMap((accelerator) => accelerator.copies)) {
    if (copy.state !== "ready" || !copy.accelerator.engineView.acceptsOrders) continue;
    const isModel = copy.artifact.startsWith(modelPrefix);
    const keep = isModel
      ? declaredModels.has(nameOf(copy.artifact))
      : declaredAdapters.has(copy.artifact) || adaptersBeingUpdated.has(nameOf(copy.artifact));
    if (!keep) pool.unload(copy, "undeclared");
  }
}

/**
 * Changes the role of engines; if the capacity in the new role is too small, memory is freed first.
 */
function planRoleChanges(pool: WorkingPool, input: PoolView): void {
  for (const view of input.engines) {
    const role = view.engine.role;
    if (role === view.role || view.roleChangePending || !view.acceptsOrders || !view.available)
      continue;
    const accelerators = pool.accelerators.filter((accelerator) => accelerator.engineView === view);
    const shortfallMb = (accelerator: Accelerator) => {
      const capacityChangeMb =
        weightCapacityMb(view.engine, accelerator.index, role) -
        accelerator.engineView.accelerators[accelerator.index].capacityMb;
      return -(accelerator.freeMb + capacityChangeMb);
    };
    const overcommitted = accelerators.filter((accelerator) => shortfallMb(accelerator) > 0);
    if (overcommitted.length === 0) {
      pool.moves.push({ kind: "role", engine: view.engine.name, role, cause: "role" });
      for (const accelerator of accelerators)
        accelerator.freeMb = Math.min(accelerator.freeMb, -shortfallMb(accelerator));
      continue;
    }
    for (const accelerator of overcommitted)
      freeMemory(pool, input, accelerator, shortfallMb(accelerator));
  }
}

/**
 * Frees memory on an accelerator: unloads redundant copies, or loads other copies elsewhere first.
 */
function freeMemory(
  pool: WorkingPool,
  input: PoolView,
  accelerator: Accelerator,
  shortfall: Mebibytes,
): void {
  let remainingMb = shortfall - accelerator.pendingFreeMb;
  for (const copy of redundantCopies(pool, accelerator)) {
    if (remainingMb <= 0 || !input.limits.mayUnload) return;
    pool.unload(copy, "role");
    remainingMb -= copy.sizeMb;
  }
  if (remainingMb <= 0) return;
  const views = new Map(input.models.map((view) => [currentArtifact(view), view]));
  for (const copy of accelerator.copies) {
    const view = views.get(copy.artifact);
    if (!view || pool.liveCopies(copy.artifact).length > 1) continue;
    if (placeModel(pool, input, view, "role")) return;
  }
}

function sortByUrgency(plan: WorkingPool["moves"]): Plan["moves"] {
  const rank = new Map(moveCauses.map((cause, index) => [cause, index]));
  return [...plan].sort((a, b) => (rank.get(a.cause) ?? 0) - (rank.get(b.cause) ?? 0));
}

/** Returns the next moves of a pool, most urgent first. */
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
