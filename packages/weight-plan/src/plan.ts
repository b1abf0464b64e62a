/** Plans which models engines swap: what is missed most comes in, what is missed least goes. */
import type { DeclaredModel, Milliseconds } from "@linkfall/types";
import { copyLoss, countCopies, lastCopyLoss, unknownLastMs } from "./copies.js";
import { type EngineView, loadTimeMs, type ModelNeed, sourceOf, usedMb } from "./engine-view.js";

/** One swap on one engine: the victims go, then the model comes. */
export interface WeightMove {
  readonly engine: string;
  readonly load: string;
  readonly victims: readonly string[];
  readonly source: "memory" | "disk" | "store";
  /** Requests wait for it; its replicas are too few; its next requests could not wait for a load; or no
   * engine has it at hand. */
  readonly reason: "waiting" | "demand" | "standby" | "unreachable";
}

/** Settings of the plan. */
export interface PlanRules {
  /** Load that one replica is to carry, as a share of what an engine can do. */
  readonly loadOfReplica: number;
  /** Time over which the next request of a rare model is weighed. */
  readonly horizonMs: Milliseconds;
}

export interface PlanInput {
  readonly engines: readonly EngineView[];
  readonly needs: ReadonlyMap<string, ModelNeed>;
  readonly models: ReadonlyMap<string, DeclaredModel>;
  /** Time for which demand has been watched. */
  readonly watchedMs: Milliseconds;
  /** Loads that the weight store's rate still permits now. */
  readonly storeLoadsLeft: number;
  readonly rules: PlanRules;
}

interface Wish {
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
/** An engine that is not free yet may be taken for something else before it is. */
const notFreeFactor = 2;
/** What a request at work on an engine costs one more there. */
const crowdMs: Milliseconds = 20;
/** What bringing a model that no engine has at hand is worth. */
const unreachableGainMs: Milliseconds = 150;
/** A model that nobody waits for yet comes after those that somebody waits for. */
const standbyWeight = 0.1;
/** What a model on standby displaces has to be worth this much less, so that two do not take turns. */
const standbyMargin = 2;
/** An engine with no more requests at work can be held up by a load for nobody yet. */
const quietRequests = 6;
/** Loads from the weight store that are kept for models that requests wait for. */
const storeLoadsReserved = 3;
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
/** Beyond this, requests of a model on one replica earn a further one. */
const replicaGainMs: Milliseconds = 250;

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

function locate(engines: readonly EngineView[]): Whereabouts {
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
  return { copies: countCopies(engines), atHand, coming };
}

function wishFor(
  input: PlanInput,
  { copies, atHand, coming }: Whereabouts,
  model: DeclaredModel,
): Wish | undefined {
  const need = input.needs.get(model.name);
  const have = copies.get(model.name) ?? 0;
  const { count: loading, firstMs } = coming.get(model.name) ?? nothingComing;
  // Boxes refuse what cannot wait, so that those who wait are the fewer the more urgent a model is.
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
  if (have === 0 && need && need.objectiveMs < model.fromDiskMs) {
    return { model, reason: "standby", weight: standbyWeight, carried: 0 };
  }
  if (have === 0 && !atHand.has(model.name)) {
    return { model, reason: "unreachable", weight: 0, carried: 0 };
  }
  return undefined;
}

function wishesOf(input: PlanInput, where: Whereabouts): readonly Wish[] {
  const wishes = [...input.models.values()].flatMap((model) => wishFor(input, where, model) ?? []);
  const pressing = wishes.filter((wish) => wish.reason !== "unreachable" || input.needs.size === 0);
  // A slow load for nobody yet must not hold an engine that others need soon.
  const chosen = pressing.length > 0 ? pressing : wishes;
  const sorted = [...chosen].sort((left, right) => right.weight - left.weight);
  return sorted.slice(0, mostWishes);
}

interface Place {
  readonly engine: EngineView;
  readonly victims: readonly string[];
  /** What the victims' requests lose, in milliseconds. */
  readonly loss: number;
  /** Time until the model is there. */
  readonly readyMs: Milliseconds;
}

/** The cheapest victims that make room on an engine; undefined when there is no room to be had. */
function placeOn(
  input: PlanInput,
  copies: ReadonlyMap<string, number>,
  engine: EngineView,
  model: DeclaredModel,
): Place | undefined {
  if (engine.incoming === model.name) return undefined;
  if (engine.residents.some((resident) => resident.name === model.name)) return undefined;
  const priced = engine.residents
    .map((resident) => ({ resident, loss: copyLoss(input, copies, engine, resident.name) }))
    .sort((left, right) => left.loss - right.loss);
  let room = engine.memoryMb - usedMb(engine, input.models);
  let loss = 0;
  const victims: string[] = [];
  for (const { resident, loss: victimLoss } of priced) {
    if (room >= model.memoryMb) break;
    const freed = input.models.get(resident.name);
    if (!freed) continue;
    victims.push(resident.name);
    loss += victimLoss;
    room += freed.memoryMb + resident.adapters.length * freed.adapterMb;
  }
  if (room < model.memoryMb || !Number.isFinite(loss)) return undefined;
  return { engine, victims, loss, readyMs: engine.freeInMs + loadTimeMs(engine, model) };
}

/** Whether the load earns what its victims lose. */
function isWorth(input: PlanInput, wish: Wish, place: Place): boolean {
  switch (wish.reason) {
    case "waiting":
      return true;
    case "demand":
      return place.loss < (wish.weight + wish.carried / 2) * replicaGainMs;
    case "standby":
      if (input.needs.size === 0) return place.loss < unknownLastMs;
      return place.loss * standbyMargin < lastCopyLoss(input, wish.model.name);
    case "unreachable":
      return place.loss < unreachableGainMs && place.engine.inFlight <= quietRequests;
  }
}

function costOf(place: Place): number {
  const risk = place.engine.freeInMs * (notFreeFactor - 1);
  return place.readyMs + risk + place.loss + place.engine.inFlight * crowdMs;
}

/** Engines that may load from the store at once for callers who get their answer late in any case, or for
 * nobody yet. */
const lateShare = 0.25;

/** Whether a load from the store is for nobody yet, or for callers for whom only one from disk comes in time. */
function isLate({ reason, model }: Wish, needs: PlanInput["needs"]): boolean {
  if (reason === "unreachable") return true;
  const need = needs.get(model.name);
  if (!need) return false;
  return need.objectiveMs > model.fromDiskMs && need.objectiveMs < model.fromStoreMs;
}

/** Loads from the store that may begin: one takes all orders of an engine for seconds, so most engines stay
 * free for what is urgent. */
function storeLoadsFor(input: PlanInput, wish: Wish, storeLoadsLeft: number): number {
  const reserved = wish.reason === "waiting" ? 0 : storeLoadsReserved;
  const allowed = storeLoadsLeft - reserved;
  // Before there is demand nothing is urgent.
  if (input.needs.size === 0 || !isLate(wish, input.needs)) return allowed;
  const loading = input.engines.filter((engine) => engine.loadsFromStore).length;
  const share = Math.max(1, Math.floor(input.engines.length * lateShare));
  return Math.min(allowed, share - loading);
}

/** The best place, which may be an engine that is not free yet. */
function bestPlace(
  input: PlanInput,
  copies: ReadonlyMap<string, number>,
  wish: Wish,
  storeLoadsLeft: number,
): Place | undefined {
  const allowed = storeLoadsFor(input, wish, storeLoadsLeft);
  const places = input.engines.flatMap((engine) => {
    const place = placeOn(input, copies, engine, wish.model);
    if (!place || !isWorth(input, wish, place)) return [];
    if (place.readyMs > (wish.withinMs ?? Infinity)) return [];
    const fromStore = sourceOf(engine, wish.model.name) === "store";
    // What nobody asks for yet is not worth an engine's orders for seconds.
    if (fromStore && wish.reason === "standby") return [];
    return fromStore && allowed <= 0 ? [] : [place];
  });
  return places.sort((left, right) => costOf(left) - costOf(right))[0];
}

/** Moves to begin now: at most one an engine. */
export function planMoves(input: PlanInput): readonly WeightMove[] {
  const where = locate(input.engines);
  const { copies } = where;
  const moves: WeightMove[] = [];
  let { storeLoadsLeft, engines } = input;
  for (const { model, ...wish } of wishesOf(input, where)) {
    const place = bestPlace({ ...input, engines }, copies, { model, ...wish }, storeLoadsLeft);
    // An engine that is soon free and has the weights at hand is better than a slow load now.
    if (!place || place.engine.freeInMs > 0) continue;
    const { id } = place.engine;
    const source = sourceOf(place.engine, model.name);
    if (source === "store") storeLoadsLeft -= 1;
    moves.push({
      engine: id,
      load: model.name,
      victims: place.victims,
      source,
      reason: wish.reason,
    });
    copies.set(model.name, (copies.get(model.name) ?? 0) + 1);
    for (const victim of place.victims) copies.set(victim, (copies.get(victim) ?? 0) - 1);
    const occupied = {
      freeInMs: Math.max(1, place.readyMs),
      incoming: model.name,
      loadsFromStore: source === "store",
    };
    engines = engines.map((engine) => (engine.id === id ? { ...engine, ...occupied } : engine));
  }
  return moves;
}
