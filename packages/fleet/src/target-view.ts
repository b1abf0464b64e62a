/** What one box believes of one target. */
import { createPrefixIndex, type PrefixIndex } from "@linkfall/prefix-index";
import type {
  EngineSpec,
  EngineState,
  EngineInventory,
  ListedTarget,
  Milliseconds,
} from "@linkfall/types";
import { type Health, initialHealth } from "./health.js";

/** Work at a target. */
export interface TargetLoad {
  readonly inFlight: number;
  /** Prompt tokens of requests that have not shown their first event. */
  readonly promptTokens: number;
}

export const noLoad: TargetLoad = { inFlight: 0, promptTokens: 0 };

/** Share of an engine's cache that the index takes for kept prefixes. */
const cacheShare = 0.7;
const defaultCacheTokens = 100_000;

/** Weights that a target refused to serve, against what it was believed to hold. */
export interface ModelRefusal {
  /** The number of orders at which it was believed to hold them. */
  readonly sequence: number;
  /** Until when the refusal counts; Infinity until the target has taken another order. */
  readonly until: Milliseconds;
}

/** One target; changed in place by the fleet that owns it. */
export interface TargetView {
  listed: ListedTarget;
  /** Start of the life that is believed in, as far as it is known. */
  born?: Milliseconds;
  /** When its entry went; absent while it is listed. */
  unlistedAt?: Milliseconds;
  /** From when on its absence counts: while the store is disturbed nobody can renew an entry. */
  missingSince?: Milliseconds;
  /** Newest word of what it holds, by the number of orders that it has taken. */
  holdings: EngineInventory;
  /** When that word was last confirmed. */
  holdingsConfirmedAt: Milliseconds;
  state?: EngineState;
  stateReadAt: Milliseconds;
  ownLoad: TargetLoad;
  otherBoxesLoad: TargetLoad;
  health: Health;
  /** Until then it has asked for no requests. */
  backOffUntil: Milliseconds;
  /** Models that are about to be dropped: nothing new is sent for them. */
  withheldModels: ReadonlySet<string>;
  /** Weights that the target has just refused to serve. */
  modelRefusals: Map<string, ModelRefusal>;
  readonly prefixIndex: PrefixIndex;
}

/** Sequence of a target that has not been asked for its state. */
const unknownSequence = -1;

export function createTargetView(
  listed: ListedTarget,
  born: Milliseconds | undefined,
  engine: EngineSpec | undefined,
  now: Milliseconds,
): TargetView {
  const cacheTokens = engine?.cacheTokens ?? defaultCacheTokens;
  return {
    listed,
    born,
    holdings: { born, sequence: unknownSequence, models: listed.models ?? [] },
    holdingsConfirmedAt: now,
    stateReadAt: -Infinity,
    ownLoad: noLoad,
    otherBoxesLoad: noLoad,
    health: initialHealth,
    backOffUntil: -Infinity,
    withheldModels: new Set(),
    modelRefusals: new Map(),
    prefixIndex: createPrefixIndex(cacheTokens * cacheShare),
  };
}

/** Whether the target is believed to hold the model, and the adapter where one is named. */
export function hasModelLoaded(
  belief: TargetView,
  model: string,
  adapter: string | undefined,
  now: Milliseconds,
): boolean {
  if (belief.withheldModels.has(model)) return false;
  const key = adapter === undefined ? model : `${model}/${adapter}`;
  const denial = belief.modelRefusals.get(key);
  if (denial?.sequence === belief.holdings.sequence && now < denial.until) return false;
  const resident = belief.holdings.models.find((held) => held.name === model);
  if (!resident) return false;
  return adapter === undefined || resident.adapters.includes(adapter);
}

/** Takes newer holdings of the life that is believed in; returns whether anything changed. */
export function applyHoldings(belief: TargetView, holdings: EngineInventory, now: Milliseconds): boolean {
  const known = belief.holdings;
  if (holdings.sequence < known.sequence) return false;
  belief.holdingsConfirmedAt = now;
  belief.born ??= holdings.born;
  const changed =
    holdings.sequence !== known.sequence ||
    JSON.stringify(holdings.models) !== JSON.stringify(known.models);
  if (!changed) return false;
  belief.holdings = { born: belief.born, sequence: holdings.sequence, models: holdings.models };
  dropGone(belief, known, holdings);
  return true;
}

/** Takes what the list says of a target's models; its own word of the same sequence counts more. */
export function applyListedModels(belief: TargetView, now: Milliseconds): boolean {
  const { models, born } = belief.listed;
  if (!models || (born !== undefined && born !== belief.born)) return false;
  return applyHoldings(belief, { sequence: belief.holdings.sequence, models }, now);
}

function dropGone(belief: TargetView, before: EngineInventory, after: EngineInventory): void {
  const names = new Set(after.models.map((model) => model.name));
  for (const model of before.models) {
    if (!names.has(model.name)) belief.prefixIndex.dropModel(model.name);
  }
  belief.modelRefusals.clear();
}
