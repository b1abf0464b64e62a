/** Spare replicas by demand: a move must earn more than it costs. */
import { modelArtifact } from "@linkfall/types";
import { isRedundant } from "./make-room.js";
import type { ModelView, PoolView } from "./pool-view.js";
import type { ArtifactCopy, Accelerator, WorkingPool } from "./working-pool.js";

/** A model's least busy engine must have no place left before the model gets another replica. */
const saturatedUtilisation = 1;
/** An engine takes another replica only while it is at most this busy. */
const maxIdleUtilisation = 0.5;
/** Queues longer than this add nothing to the worth of a move. */
const maxRelievedUtilisation = 2;
/** What one move must earn at equal weights, in share of demand times utilisation relieved. */
const moveCost = 0.03;
/** A spare replica is displaced only for a model with at least this many times its demand. */
const minDisplacementRatio = 4;

/** A replica that might be added: at once, or after `displaced` has gone. */
interface ReplicaCandidate {
  readonly view: ModelView;
  readonly slot: Accelerator;
  readonly displaced?: ArtifactCopy;
  readonly gain: number;
}

function artifactOf(view: ModelView): string {
  return modelArtifact(view.model.name, view.model.version);
}

/** Utilisation of the least busy engine that serves the model. */
function minUtilisation(pool: WorkingPool, view: ModelView): number {
  const busy = pool
    .liveCopies(artifactOf(view))
    .map((copy) => copy.accelerator.engineView.utilisation);
  return busy.length === 0 ? 0 : Math.min(...busy);
}

/**
 * Whether the copies that are there and coming should do. All that are wanted are loaded in one go;
 * then the cool-down lets their effect show before there is more.
 */
function hasEnoughReplicas(pool: WorkingPool, view: ModelView, busy: number): boolean {
  const standing = pool.liveCopies(artifactOf(view));
  const coming = standing.filter((copy) => copy.state === "coming").length;
  const wanted = Math.ceil(((standing.length - coming) * busy) / saturatedUtilisation);
  if (coming === 0) return view.coolingDown;
  return standing.length >= wanted;
}

function isIdle(slot: Accelerator): boolean {
  const { available: counted, acceptsOrders: orderable, utilisation } = slot.engineView;
  return counted && orderable && utilisation <= maxIdleUtilisation;
}

function holdsArtifact(slot: Accelerator, artifact: string): boolean {
  return slot.copies.some((copy) => copy.artifact === artifact);
}

/** A spare replica of a model in far less demand, whose memory would do for `view`. */
function findDisplaceableCopy(
  pool: WorkingPool,
  input: PoolView,
  view: ModelView,
): { readonly slot: Accelerator; readonly copy: ArtifactCopy } | undefined {
  const shares = new Map(input.models.map((other) => [artifactOf(other), other.demandShare]));
  const isCold = (copy: ArtifactCopy) => {
    const share = shares.get(copy.artifact);
    return share !== undefined && share * minDisplacementRatio <= view.demandShare;
  };
  const idle = pool.accelerators.filter(
    (slot) => isIdle(slot) && !holdsArtifact(slot, artifactOf(view)),
  );
  for (const slot of idle) {
    const copy = slot.copies.find(
      (other) =>
        isCold(other) &&
        slot.freeMb + other.sizeMb >= view.model.sizeMb &&
        isRedundant(pool, other),
    );
    if (copy) return { slot, copy };
  }
  return undefined;
}

/** Where one more replica of the model would go. */
function createCandidate(
  pool: WorkingPool,
  input: PoolView,
  view: ModelView,
): ReplicaCandidate | undefined {
  const { attainmentWeight, movesWeight, mayUnload } = input.limits;
  const busy = minUtilisation(pool, view);
  if (busy < saturatedUtilisation || hasEnoughReplicas(pool, view, busy)) return undefined;

  const gainAt = (slot: Accelerator, moves: number) => {
    const relieved = Math.min(busy, maxRelievedUtilisation) - slot.engineView.utilisation;
    return attainmentWeight * view.demandShare * relieved - movesWeight * moveCost * moves;
  };
  const wish = { sizeMb: view.model.sizeMb, notBeside: [artifactOf(view)] };
  const open = pool.findAccelerators(wish).find(isIdle);
  if (open) return { view, slot: open, gain: gainAt(open, 1) };
  const found = mayUnload ? findDisplaceableCopy(pool, input, view) : undefined;
  if (!found) return undefined;
  return { view, slot: found.slot, displaced: found.copy, gain: gainAt(found.slot, 2) };
}

/** Adds replicas where that pays, best first, within the limit on moves. */
export function planDemandReplicas(pool: WorkingPool, input: PoolView): void {
  for (let left = input.limits.demandMoveBudget; left > 0; left--) {
    const worthwhile = input.models
      .map((view) => createCandidate(pool, input, view))
      .filter((move) => move !== undefined && move.gain > 0) as ReplicaCandidate[];
    worthwhile.sort((a, b) => b.gain - a.gain);
    const best = worthwhile[0];
    if (!best) return;
    if (best.displaced) {
      pool.unload(best.displaced, "demand");
      pool.reserve(best.slot, best.view.model.sizeMb);
      return;
    }
    pool.load(best.slot, artifactOf(best.view), best.view.model.sizeMb, "demand");
  }
}
