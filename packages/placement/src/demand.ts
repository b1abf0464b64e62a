/**
 * Plans additional replicas for models in high demand, if the benefit exceeds the cost of the
 * moves.
 */
import { modelArtifact } from "@linkfall/types";
import { isRedundant } from "./make-room.js";
import type { ModelView, PoolView } from "./pool-view.js";
import type { Accelerator, ArtifactCopy, WorkingPool } from "./working-pool.js";

/** Minimum utilisation of a model's least busy engine for the model to get another replica. */
const saturatedUtilisation = 1;
/** Maximum utilisation of an engine that receives another replica. */
const maxIdleUtilisation = 0.5;
/** Upper bound on the utilisation that counts towards the benefit of a move. */
const maxRelievedUtilisation = 2;
/** Cost of one move at equal weights, in demand share times utilisation relieved. */
const moveCost = 0.03;
/** A redundant replica is only displaced for a model with at least this many times its demand. */
const minDisplacementRatio = 4;

/** A possible additional replica, loaded at once or after `displaced` has been unloaded. */
interface ReplicaCandidate {
  readonly view: ModelView;
  readonly accelerator: Accelerator;
  readonly displaced?: ArtifactCopy;
  readonly gain: number;
}

function artifactOf(view: ModelView): string {
  return modelArtifact(view.model.name, view.model.version);
}

/** Returns the utilisation of the least busy engine that serves the model. */
function minUtilisation(pool: WorkingPool, view: ModelView): number {
  const utilisations = pool
    .liveCopies(artifactOf(view))
    .map((copy) => copy.accelerator.engineView.utilisation);
  return utilisations.length === 0 ? 0 : Math.min(...utilisations);
}

/**
 * Returns whether the ready and loading replicas are expected to suffice. All missing replicas are
 * loaded together; the cool-down then lets them take effect before more are added.
 */
function hasEnoughReplicas(pool: WorkingPool, view: ModelView, utilisation: number): boolean {
  const replicas = pool.liveCopies(artifactOf(view));
  const loading = replicas.filter((copy) => copy.state === "loading").length;
  const required = Math.ceil(((replicas.length - loading) * utilisation) / saturatedUtilisation);
  if (loading === 0) return view.coolingDown;
  return replicas.length >= required;
}

function isIdle(accelerator: Accelerator): boolean {
  const { available, acceptsOrders, utilisation } = accelerator.engineView;
  return available && acceptsOrders && utilisation <= maxIdleUtilisation;
}

function holdsArtifact(accelerator: Accelerator, artifact: string): boolean {
  return accelerator.copies.some((copy) => copy.artifact === artifact);
}

/**
 * Finds a redundant replica of a model in much lower demand whose memory would suffice for `view`.
 */
function findDisplaceableCopy(
  pool: WorkingPool,
  input: PoolView,
  view: ModelView,
): { readonly accelerator: Accelerator; readonly copy: ArtifactCopy } | undefined {
  const shares = new Map(input.models.map((other) => [artifactOf(other), other.demandShare]));
  const isInLowDemand = (copy: ArtifactCopy) => {
    const share = shares.get(copy.artifact);
    return share !== undefined && share * minDisplacementRatio <= view.demandShare;
  };
  const idleAccelerators = pool.accelerators.filter(
    (accelerator) => isIdle(accelerator) && !holdsArtifact(accelerator, artifactOf(view)),
  );
  for (const accelerator of idleAccelerators) {
    const copy = accelerator.copies.find(
      (other) =>
        isInLowDemand(other) &&
        accelerator.freeMb + other.sizeMb >= view.model.sizeMb &&
        isRedundant(pool, other),
    );
    if (copy) return { accelerator, copy };
  }
  return undefined;
}

/** Returns the best location for another replica of the model, if it needs one. */
function createCandidate(
  pool: WorkingPool,
  input: PoolView,
  view: ModelView,
): ReplicaCandidate | undefined {
  const { attainmentWeight, movesWeight, mayUnload } = input.limits;
  const utilisation = minUtilisation(pool, view);
  if (utilisation < saturatedUtilisation || hasEnoughReplicas(pool, view, utilisation))
    return undefined;

  const gainOf = (accelerator: Accelerator, moves: number) => {
    const relievedUtilisation =
      Math.min(utilisation, maxRelievedUtilisation) - accelerator.engineView.utilisation;
    return (
      attainmentWeight * view.demandShare * relievedUtilisation - movesWeight * moveCost * moves
    );
  };
  const constraints = { sizeMb: view.model.sizeMb, excludedArtifacts: [artifactOf(view)] };
  const target = pool.findAccelerators(constraints).find(isIdle);
  if (target) return { view, accelerator: target, gain: gainOf(target, 1) };
  const displaceable = mayUnload ? findDisplaceableCopy(pool, input, view) : undefined;
  if (!displaceable) return undefined;
  return {
    view,
    accelerator: displaceable.accelerator,
    displaced: displaceable.copy,
    gain: gainOf(displaceable.accelerator, 2),
  };
}

/** Plans the most beneficial replicas first, within the move budget. */
export function planDemandReplicas(pool: WorkingPool, input: PoolView): void {
  for (let remaining = input.limits.demandMoveBudget; remaining > 0; remaining--) {
    const candidates = input.models
      .map((view) => createCandidate(pool, input, view))
      .filter((move) => move !== undefined && move.gain > 0) as ReplicaCandidate[];
    candidates.sort((a, b) => b.gain - a.gain);
    const best = candidates[0];
    if (!best) return;
    if (best.displaced) {
      pool.unload(best.displaced, "demand");
      pool.reserve(best.accelerator, best.view.model.sizeMb);
      return;
    }
    pool.load(best.accelerator, artifactOf(best.view), best.view.model.sizeMb, "demand");
  }
}
