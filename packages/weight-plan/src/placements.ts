/** Where a model would come in best: on which engine, in the place of which others. */
import type { DeclaredModel, Mebibytes, Milliseconds } from "@linkfall/types";
import { evictionCostMs, lastReplicaCostMs, initialLastReplicaCostMs } from "./eviction-cost.js";
import { type EngineView, type LoadSource, loadTimeMs, loadSourceOf, usedMb } from "./engine-view.js";
import type { PlanInput } from "./plan-input.js";
import type { LoadCandidate } from "./load-candidates.js";

/** An engine that is not free yet may be taken for something else before it is. */
const busyEngineFactor = 2;
/** An engine that takes only so many requests is a place where no other is. */
const rateLimitedPenaltyMs: Milliseconds = 60_000;
/** What a request at work on an engine costs one more there. */
const inFlightPenaltyMs: Milliseconds = 20;
/** What bringing a model that no engine has at hand is worth. */
const unreachableBenefitMs: Milliseconds = 150;
/** What a model on standby displaces has to be worth this much less, so that two do not take turns. */
const standbyMargin = 2;
/** An engine with no more requests at work can be held up by a load for nobody yet. */
const maxQuietInFlight = 6;
/** Loads from the weight store that are kept for models that requests wait for. */
const reservedStoreLoads = 3;
/** Beyond this, requests of a model on one replica earn a further one. */
const replicaBenefitMs: Milliseconds = 250;

/** A place for a model on one engine. */
export interface Placement {
  readonly engine: EngineView;
  readonly source: LoadSource;
  readonly victims: readonly string[];
  /** What the victims' requests lose, in milliseconds. */
  readonly evictionCostMs: number;
  /** Time until the model is there. */
  readonly readyMs: Milliseconds;
}

/** A resident model that could make room. */
interface EvictableResident {
  readonly name: string;
  /** What its requests lose if it goes, in milliseconds. */
  readonly evictionCostMs: number;
  readonly memoryMb: Mebibytes;
}

/** What an engine has to offer any model. */
interface EvictionOptions {
  readonly freeMb: Mebibytes;
  /** The cheapest first. */
  readonly residents: readonly EvictableResident[];
}

/**
 * Prices of the engines of one plan. Each is worked out once and not for each wish: the box that plans does nothing else meanwhile.
 */
export interface EvictionOptionsCache {
  optionsFor(engine: EngineView): EvictionOptions;
  /** Drops the prices that hang on these models, whose copies have changed. */
  invalidate(models: ReadonlySet<string>): void;
}

function listEvictionOptions(
  input: PlanInput,
  copies: ReadonlyMap<string, number>,
  engine: EngineView,
): EvictionOptions {
  const residents = engine.residents.flatMap(({ name, adapters }) => {
    const model = input.models.get(name);
    if (!model) return [];
    const loss = evictionCostMs(input, copies, engine, name);
    return [{ name, loss, memoryMb: model.memoryMb + adapters.length * model.adapterMb }];
  });
  return {
    freeMb: engine.memoryMb - usedMb(engine, input.models),
    residents: residents.sort((left, right) => left.loss - right.loss),
  };
}

/** Creates the prices of a plan that changes `copies` as it goes. */
export function createEvictionOptionsCache(input: PlanInput, copies: ReadonlyMap<string, number>): EvictionOptionsCache {
  const known = new Map<string, EvictionOptions>();
  return {
    optionsFor(engine) {
      const price = known.get(engine.id) ?? listEvictionOptions(input, copies, engine);
      known.set(engine.id, price);
      return price;
    },
    invalidate(models) {
      for (const [id, { residents }] of known) {
        if (residents.some(({ name }) => models.has(name))) known.delete(id);
      }
    },
  };
}

/** The cheapest victims that make room on an engine; undefined when there is no room to be had. */
function findPlacement(prices: EvictionOptionsCache, engine: EngineView, model: DeclaredModel): Placement | undefined {
  if (engine.loadingModel === model.name) return undefined;
  if (engine.residents.some((resident) => resident.name === model.name)) return undefined;
  const { freeMb, residents } = prices.optionsFor(engine);
  let room = freeMb;
  let loss = 0;
  const victims: string[] = [];
  for (const resident of residents) {
    if (room >= model.memoryMb) break;
    victims.push(resident.name);
    loss += resident.evictionCostMs;
    room += resident.memoryMb;
  }
  if (room < model.memoryMb || !Number.isFinite(loss)) return undefined;
  const source = loadSourceOf(engine, model.name);
  return { engine, source, victims, evictionCostMs: loss, readyMs: engine.availableInMs + loadTimeMs(source, model) };
}

/** Whether the load earns what its victims lose. */
function isWorthwhile(input: PlanInput, wish: LoadCandidate, place: Placement): boolean {
  switch (wish.reason) {
    case "waiting":
      return true;
    case "demand":
      if (place.engine.maxRequestsPerSecond !== undefined) return false;
      return place.evictionCostMs < (wish.priority + wish.targetInFlight / 2) * replicaBenefitMs;
    case "standby":
      if (input.demand.size === 0) return place.evictionCostMs < initialLastReplicaCostMs;
      return place.evictionCostMs * standbyMargin < lastReplicaCostMs(input, wish.model.name);
    case "unreachable":
      return place.evictionCostMs < unreachableBenefitMs && place.engine.inFlight <= maxQuietInFlight;
  }
}

function placementCostMs(place: Placement): number {
  const risk = place.engine.availableInMs * (busyEngineFactor - 1);
  const limited = place.engine.maxRequestsPerSecond === undefined ? 0 : rateLimitedPenaltyMs;
  return place.readyMs + risk + place.evictionCostMs + place.engine.inFlight * inFlightPenaltyMs + limited;
}

/** Share of the engines that may load from the store at once for callers who get their answer late in any case,
 * or for nobody yet: without it loads from the store took the orders of eight engines for 86 % of the time. */
const maxDeferrableLoadShare = 0.25;

/** Whether a load from the store is for nobody yet, or for callers for whom only one from disk comes in time. */
function isDeferrable({ reason, model }: LoadCandidate, needs: PlanInput["demand"]): boolean {
  if (reason === "unreachable") return true;
  const need = needs.get(model.name);
  if (!need) return false;
  return need.objectiveMs > model.loadFromDiskMs && need.objectiveMs < model.loadFromStoreMs;
}

/** Loads from the store that may begin: one takes all orders of an engine for seconds, so most engines stay
 * free for what is urgent. */
function allowedStoreLoads(input: PlanInput, wish: LoadCandidate, storeLoadsLeft: number): number {
  const reserved = wish.reason === "waiting" ? 0 : reservedStoreLoads;
  const allowed = storeLoadsLeft - reserved;
  // Before there is demand nothing is urgent.
  if (input.demand.size === 0 || !isDeferrable(wish, input.demand)) return allowed;
  const loading = input.engines.filter((engine) => engine.isLoadingFromStore).length;
  const share = Math.max(1, Math.floor(input.engines.length * maxDeferrableLoadShare));
  return Math.min(allowed, share - loading);
}

/** The best place, which may be an engine that is not free yet. */
export function selectPlacement(
  input: PlanInput,
  prices: EvictionOptionsCache,
  wish: LoadCandidate,
  storeLoadsLeft: number,
): Placement | undefined {
  const allowed = allowedStoreLoads(input, wish, storeLoadsLeft);
  let best: Placement | undefined;
  for (const engine of input.engines) {
    const place = findPlacement(prices, engine, wish.model);
    if (!place || !isWorthwhile(input, wish, place)) continue;
    if (place.readyMs > (wish.maxReadyMs ?? Infinity)) continue;
    // What nobody asks for yet is not worth an engine's orders for seconds.
    const mayLoad = place.source !== "store" || (wish.reason !== "standby" && allowed > 0);
    if (mayLoad && (!best || placementCostMs(place) < placementCostMs(best))) best = place;
  }
  return best;
}
