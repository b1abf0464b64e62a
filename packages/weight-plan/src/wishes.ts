/** Which models a plan would bring in, those that help most requests first. */
import type { DeclaredModel, Milliseconds } from "@linkfall/types";
import { countCopies } from "./copies.js";
import { withServingCopies } from "./limited-engines.js";
import type { PlanInput, WeightMove } from "./plan-input.js";

/** A model that is to come in. */
export interface Wish {
  readonly model: DeclaredModel;
  readonly reason: WeightMove["reason"];
  /** Requests that it would help; higher comes first. */
  readonly weight: number;
  /** The load has to be there within this time. */
  readonly withinMs?: Milliseconds;
  /** Requests at work that the replicas there carry as they should, each. */
  readonly carried: number;
}

/** A request that waits for a model counts as many that share a replica with too many others. */
const waitingWeight = 3;
/** A model that nobody waits for yet comes after those that somebody waits for. */
const standbyWeight = 0.1;
/** Requests that come within this time count as those that wait: about what a load from disk takes. */
const askingSeconds = 1;
/** Fewer than this are a request that has just been served. */
const leastAsking = 1;
/** A load beside one that is on its way has to be there this much sooner: about what a load from disk takes
 * of its engine. */
const leastSoonerMs: Milliseconds = 1_500;
/** Replicas of one model that may be on their way at once. */
const mostComing = 2;
/** Wishes of one plan: the others come with the next ones, some tens of milliseconds later. */
const mostWishes = 32;

/** Where models are over all engines, counted once for a whole plan. */
interface Whereabouts {
  readonly copies: Map<string, number>;
  /** Models that some engine has at hand, or that are on their way. */
  readonly atHand: ReadonlySet<string>;
  /** Loads on their way, by model. */
  readonly coming: ReadonlyMap<string, ComingLoads>;
}

/** Loads of one model that are on their way. */
interface ComingLoads {
  readonly count: number;
  /** Time until the first of them is there. */
  readonly firstMs: Milliseconds;
}

const nothingComing: ComingLoads = { count: 0, firstMs: Infinity };

/** Counts copies and loads over all engines. */
export function locate({ engines, needs }: Pick<PlanInput, "engines" | "needs">): Whereabouts {
  const atHand = new Set<string>();
  const coming = new Map<string, ComingLoads>();
  for (const { inMemory, onDisk, incoming, freeInMs } of engines) {
    for (const name of inMemory) atHand.add(name);
    for (const name of onDisk) atHand.add(name);
    if (incoming === undefined) continue;
    atHand.add(incoming);
    const { count, firstMs } = coming.get(incoming) ?? nothingComing;
    coming.set(incoming, { count: count + 1, firstMs: Math.min(firstMs, freeInMs) });
  }
  return { copies: countCopies(withServingCopies(engines, needs)), atHand, coming };
}

function wishFor(
  input: PlanInput,
  { copies, atHand, coming }: Whereabouts,
  model: DeclaredModel,
): Wish | undefined {
  const need = input.needs.get(model.name);
  const have = copies.get(model.name) ?? 0;
  const { count: loading, firstMs } = coming.get(model.name) ?? nothingComing;
  // Boxes refuse what cannot wait, so that those who wait are the fewer the more urgent a model is: counted
  // alone, a model with 320 refused requests was left out for 7 s while engines swapped rarely used ones.
  const asking = need ? need.waiting + need.rate * askingSeconds : 0;
  if (asking >= leastAsking && have <= loading) {
    // While a slow load is on its way, one that is there much sooner is worth as much as the first.
    const withinMs = firstMs - leastSoonerMs;
    const weight = asking * waitingWeight;
    return { model, reason: "waiting", weight, carried: 0, withinMs };
  }
  const load = need && have > 0 ? need.load / have : 0;
  // Requests that pile up during loads are no demand for ever more replicas.
  if (need && load > input.rules.loadOfReplica && loading < mostComing) {
    const atWork = need.inFlight / have;
    const carried = (atWork * input.rules.loadOfReplica) / load;
    return { model, reason: "demand", weight: atWork - carried, carried };
  }
  if (have === 0 && input.needs.size === 0 && atHand.has(model.name)) {
    return { model, reason: "standby", weight: standbyWeight, carried: 0 };
  }
  if (have === 0 && need && need.objectiveMs < model.loadFromDiskMs) {
    return { model, reason: "standby", weight: standbyWeight, carried: 0 };
  }
  if (have === 0 && !atHand.has(model.name)) {
    return { model, reason: "unreachable", weight: 0, carried: 0 };
  }
  return undefined;
}

/** Models that a plan would bring in, the most pressing first. */
export function wishesOf(input: PlanInput, where: Whereabouts): readonly Wish[] {
  const wishes = [...input.models.values()].flatMap((model) => wishFor(input, where, model) ?? []);
  const pressing = wishes.filter((wish) => wish.reason !== "unreachable" || input.needs.size === 0);
  // A slow load for nobody yet must not hold an engine that others need soon.
  const chosen = pressing.length > 0 ? pressing : wishes;
  const sorted = [...chosen].sort((left, right) => right.weight - left.weight);
  return sorted.slice(0, mostWishes);
}
