/** Where a model would come in best: on which engine, in the place of which others. */
import type { DeclaredModel, Mebibytes, Milliseconds } from "@linkfall/types";
import { copyLoss, lastCopyLoss, unknownLastMs } from "./copies.js";
import { type EngineView, type LoadSource, loadTimeMs, sourceOf, usedMb } from "./engine-view.js";
import type { PlanInput } from "./plan-input.js";
import type { Wish } from "./wishes.js";

/** An engine that is not free yet may be taken for something else before it is. */
const notFreeFactor = 2;
/** An engine that takes only so many requests is a place where no other is. */
const limitedMs: Milliseconds = 60_000;
/** What a request at work on an engine costs one more there. */
const crowdMs: Milliseconds = 20;
/** What bringing a model that no engine has at hand is worth. */
const unreachableGainMs: Milliseconds = 150;
/** What a model on standby displaces has to be worth this much less, so that two do not take turns. */
const standbyMargin = 2;
/** An engine with no more requests at work can be held up by a load for nobody yet. */
const quietRequests = 6;
/** Loads from the weight store that are kept for models that requests wait for. */
const storeLoadsReserved = 3;
/** Beyond this, requests of a model on one replica earn a further one. */
const replicaGainMs: Milliseconds = 250;

/** A place for a model on one engine. */
export interface Place {
  readonly engine: EngineView;
  readonly source: LoadSource;
  readonly victims: readonly string[];
  /** What the victims' requests lose, in milliseconds. */
  readonly loss: number;
  /** Time until the model is there. */
  readonly readyMs: Milliseconds;
}

/** A resident model that could make room. */
interface PricedResident {
  readonly name: string;
  /** What its requests lose if it goes, in milliseconds. */
  readonly loss: number;
  readonly memoryMb: Mebibytes;
}

/** What an engine has to offer any model. */
interface PricedEngine {
  readonly freeMb: Mebibytes;
  /** The cheapest first. */
  readonly residents: readonly PricedResident[];
}

/**
 * Prices of the engines of one plan. Each is worked out once and not for each wish: the box that plans does nothing else meanwhile.
 */
export interface PriceList {
  of(engine: EngineView): PricedEngine;
  /** Drops the prices that hang on these models, whose copies have changed. */
  drop(models: ReadonlySet<string>): void;
}

function priceEngine(
  input: PlanInput,
  copies: ReadonlyMap<string, number>,
  engine: EngineView,
): PricedEngine {
  const residents = engine.residents.flatMap(({ name, adapters }) => {
    const model = input.models.get(name);
    if (!model) return [];
    const loss = copyLoss(input, copies, engine, name);
    return [{ name, loss, memoryMb: model.memoryMb + adapters.length * model.adapterMb }];
  });
  return {
    freeMb: engine.memoryMb - usedMb(engine, input.models),
    residents: residents.sort((left, right) => left.loss - right.loss),
  };
}

/** Creates the prices of a plan that changes `copies` as it goes. */
export function createPriceList(input: PlanInput, copies: ReadonlyMap<string, number>): PriceList {
  const known = new Map<string, PricedEngine>();
  return {
    of(engine) {
      const price = known.get(engine.id) ?? priceEngine(input, copies, engine);
      known.set(engine.id, price);
      return price;
    },
    drop(models) {
      for (const [id, { residents }] of known) {
        if (residents.some(({ name }) => models.has(name))) known.delete(id);
      }
    },
  };
}

/** The cheapest victims that make room on an engine; undefined when there is no room to be had. */
function placeOn(prices: PriceList, engine: EngineView, model: DeclaredModel): Place | undefined {
  if (engine.incoming === model.name) return undefined;
  if (engine.residents.some((resident) => resident.name === model.name)) return undefined;
  const { freeMb, residents } = prices.of(engine);
  let room = freeMb;
  let loss = 0;
  const victims: string[] = [];
  for (const resident of residents) {
    if (room >= model.memoryMb) break;
    victims.push(resident.name);
    loss += resident.loss;
    room += resident.memoryMb;
  }
  if (room < model.memoryMb || !Number.isFinite(loss)) return undefined;
  const source = sourceOf(engine, model.name);
  return { engine, source, victims, loss, readyMs: engine.freeInMs + loadTimeMs(source, model) };
}

/** Whether the load earns what its victims lose. */
function isWorth(input: PlanInput, wish: Wish, place: Place): boolean {
  switch (wish.reason) {
    case "waiting":
      return true;
    case "demand":
      if (place.engine.takesPerSecond !== undefined) return false;
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
  const limited = place.engine.takesPerSecond === undefined ? 0 : limitedMs;
  return place.readyMs + risk + place.loss + place.engine.inFlight * crowdMs + limited;
}

/** Share of the engines that may load from the store at once for callers who get their answer late in any case,
 * or for nobody yet: without it loads from the store took the orders of eight engines for 86 % of the time. */
const lateShare = 0.25;

/** Whether a load from the store is for nobody yet, or for callers for whom only one from disk comes in time. */
function isLate({ reason, model }: Wish, needs: PlanInput["needs"]): boolean {
  if (reason === "unreachable") return true;
  const need = needs.get(model.name);
  if (!need) return false;
  return need.objectiveMs > model.loadFromDiskMs && need.objectiveMs < model.loadFromStoreMs;
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
export function bestPlace(
  input: PlanInput,
  prices: PriceList,
  wish: Wish,
  storeLoadsLeft: number,
): Place | undefined {
  const allowed = storeLoadsFor(input, wish, storeLoadsLeft);
  let best: Place | undefined;
  for (const engine of input.engines) {
    const place = placeOn(prices, engine, wish.model);
    if (!place || !isWorth(input, wish, place)) continue;
    if (place.readyMs > (wish.withinMs ?? Infinity)) continue;
    // What nobody asks for yet is not worth an engine's orders for seconds.
    const mayLoad = place.source !== "store" || (wish.reason !== "standby" && allowed > 0);
    if (mayLoad && (!best || costOf(place) < costOf(best))) best = place;
  }
  return best;
}
