/** One box's view of one target. */
import { createPrefixIndex, type PrefixIndex } from "@linkfall/prefix-index";
import type {
  EngineSpec,
  EngineState,
  EngineInventory,
  ListedTarget,
  ListPosition,
  Milliseconds,
} from "@linkfall/types";
import { type Health, initialHealth } from "./health.js";

/** Outstanding work at a target. */
export interface TargetLoad {
  readonly inFlight: number;
  /** Prompt tokens of requests that have not sent their first event. */
  readonly promptTokens: number;
}

/** Load of an idle target. */
export const noLoad: TargetLoad = { inFlight: 0, promptTokens: 0 };

/** Share of an engine's cache that the index assumes to hold prefixes. */
const prefixCacheShare = 0.7;
/** Cache size of targets without a known engine shape. */
const defaultCacheTokens = 100_000;

/** A target's refusal to serve a model that it was expected to have loaded. */
export interface ModelRefusal {
  /** Sequence of the holdings that listed the model; newer holdings void the refusal. */
  readonly sequence: number;
  /** Expiry time; Infinity if only newer holdings void the refusal. */
  readonly until: Milliseconds;
}

/** State of one target; mutated by the fleet that owns it. */
export interface TargetView {
  /** Newest entry of the target list. */
  listed: ListedTarget;
  /** Start time of the current incarnation, if known. */
  born?: Milliseconds;
  /** When this box learned that it is leaving; absent if it does not leave, or was leaving when it was first listed. */
  leavingSince?: Milliseconds;
  /** Position of the list that contained its newest entry. */
  listedAt?: ListPosition;
  /** When its entry disappeared; absent while it is listed. */
  unlistedAt?: Milliseconds;
  /** Whether the store lost its entry by coming back from an older copy. */
  isEntryLost?: boolean;
  /** Newest known holdings; the sequence counts the orders that the target has accepted. */
  holdings: EngineInventory;
  /** When the holdings were last confirmed. */
  holdingsConfirmedAt: Milliseconds;
  /** Newest state that the target itself reported. */
  state?: EngineState;
  /** When that state was read. */
  stateReadAt: Milliseconds;
  /** Load caused by this box. */
  ownLoad: TargetLoad;
  /** Load caused by the other boxes. */
  otherBoxesLoad: TargetLoad;
  /** Failures and ejections. */
  health: Health;
  /** Models about to be unloaded; they get no new requests. */
  withheldModels: ReadonlySet<string>;
  /** Recent refusals, by model or `model/adapter`. */
  modelRefusals: Map<string, ModelRefusal>;
  /** Prompt prefixes that are probably in the target's cache. */
  readonly prefixIndex: PrefixIndex;
}

/** Sequence of holdings taken from the list, before the target's own state is known. */
const unknownSequence = -1;

/** Creates the view of a newly listed target, or of a new incarnation. */
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
    withheldModels: new Set(),
    modelRefusals: new Map(),
    prefixIndex: createPrefixIndex(cacheTokens * prefixCacheShare),
  };
}

/** Whether the target has the model loaded, and the adapter if one is given, and serves it. */
export function hasModelLoaded(
  target: TargetView,
  model: string,
  adapter: string | undefined,
  now: Milliseconds,
): boolean {
  if (target.withheldModels.has(model)) return false;
  const key = adapter === undefined ? model : `${model}/${adapter}`;
  const refusal = target.modelRefusals.get(key);
  if (refusal?.sequence === target.holdings.sequence && now < refusal.until) return false;
  const resident = target.holdings.models.find((held) => held.name === model);
  if (!resident) return false;
  return adapter === undefined || resident.adapters.includes(adapter);
}

/** Applies holdings of the current incarnation unless they are older; returns whether anything changed. */
export function applyHoldings(
  target: TargetView,
  holdings: EngineInventory,
  now: Milliseconds,
): boolean {
  const known = target.holdings;
  if (holdings.sequence < known.sequence) return false;
  target.holdingsConfirmedAt = now;
  target.born ??= holdings.born;
  const changed =
    holdings.sequence !== known.sequence ||
    JSON.stringify(holdings.models) !== JSON.stringify(known.models);
  if (!changed) return false;
  target.holdings = { born: target.born, sequence: holdings.sequence, models: holdings.models };
  dropUnloadedPrefixes(target, known, holdings);
  return true;
}

/** Applies the models of the target's list entry, keeping the sequence; returns whether anything changed. */
export function applyListedModels(target: TargetView, now: Milliseconds): boolean {
  const { models, born } = target.listed;
  if (!models || (born !== undefined && born !== target.born)) return false;
  return applyHoldings(target, { sequence: target.holdings.sequence, models }, now);
}

function dropUnloadedPrefixes(
  target: TargetView,
  before: EngineInventory,
  after: EngineInventory,
): void {
  const names = new Set(after.models.map((model) => model.name));
  for (const model of before.models) {
    if (!names.has(model.name)) target.prefixIndex.dropModel(model.name);
  }
  target.modelRefusals.clear();
}
