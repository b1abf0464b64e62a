/** The targets as one box believes them to be: listed, lapsed or gone, what they hold, their load. */
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type {
  EngineSpec,
  EngineState,
  EngineInventory,
  ListedTarget,
  Milliseconds,
} from "@linkfall/types";
import { noLoad, takeHoldings, type TargetBelief, type TargetLoad } from "./belief.js";
import { type FleetRules, type FleetState, noteChange, targetsOf } from "./fleet-state.js";
import { keepEarly, lifeOfOwnWord, lifeOfTold } from "./lives.js";
import { afterFailure, afterRefusedConnection, afterSuccess, isEjected } from "./health.js";
import {
  dropEntry,
  expireLapsed,
  leaveAlone,
  takeEntry,
  takeList,
  wentInLapse,
} from "./listing.js";

export interface Fleet {
  /** Takes the whole list; targets that it lacks have lapsed or are gone. */
  takeList(list: readonly ListedTarget[]): void;
  takeEntry(target: ListedTarget): void;
  /** Takes that an entry has gone from the list. */
  dropEntry(id: string): void;
  /** Takes that an entry can't be read: its target is left alone, and what runs there ends well. */
  leaveAlone(id: string): void;
  takeState(id: string, state: EngineState, ageMs: Milliseconds): void;
  /** Takes what the holder of the order lease tells, also of a target that is not listed here yet. */
  takeHoldings(id: string, holdings: EngineInventory): void;
  /** Requests of the other boxes, by target. */
  takeOthers(loads: ReadonlyMap<string, TargetLoad>): void;
  withhold(models: ReadonlyMap<string, readonly string[]>): void;
  /** Notes that a target refused to serve weights; for `forMs`, or until it has taken an order. */
  deny(id: string, key: string, forMs?: Milliseconds): void;
  /** Notes that a target has asked for no requests for a time. */
  backOff(id: string, forMs: Milliseconds): void;
  succeeded(id: string): void;
  failed(id: string, reason: string): void;
  /** Notes that nobody, or somebody else, listens at the target's address. */
  unreachable(id: string, reason: string): void;
  find(id: string): TargetBelief | undefined;
  all(): readonly TargetBelief[];
  /** Targets of a service that may get new requests. */
  usable(service: string): readonly TargetBelief[];
  /** Calls the listener with the id of a target whose life has ended here: it is gone, or has started again. */
  onLifeEnded(listener: (id: string) => void): void;
  /** Calls the listener after each change that may let a waiting request go on. */
  onChange(listener: () => void): void;
  setEngines(shapes: ReadonlyMap<string, EngineSpec | undefined>): void;
  /** Tells when the list is to be believed about models: never while engines' own word is fresh. */
  trustOwnWord(fresh: () => boolean): void;
  /** Removes targets whose lapse has lasted longer than the grace. */
  expireLapsed(storeDisturbed: boolean): void;
}

export const fleetName = serviceName<Fleet>("fleet");

/** Notes a failure, and leaves the target out where that makes too many. */
function worsen(state: FleetState, id: string, reason: string, after: typeof afterFailure): void {
  const { clock, logger, rules } = state;
  const belief = state.beliefs.get(id);
  if (!belief) return;
  const before = belief.health;
  belief.health = after(before, rules.ejection, clock.now());
  if (belief.health.ejections === before.ejections) return;
  const forMs = Math.round(belief.health.ejectedUntil - clock.now());
  logger.event("targetEjected", { target: id, reason, forMs });
  clock.after(forMs, () => noteChange(state));
}

function takeState(state: FleetState, id: string, read: EngineState, ageMs: Milliseconds): void {
  const known = state.beliefs.get(id);
  const now = state.clock.now();
  const at = now - ageMs;
  if (!known || at <= known.stateAt) return;
  const belief = lifeOfOwnWord(state, known, read);
  belief.state = read;
  belief.stateAt = at;
  if (takeHoldings(belief, read, now)) noteChange(state);
}

function takeTold(state: FleetState, id: string, holdings: EngineInventory): void {
  const known = state.beliefs.get(id);
  if (!known) return keepEarly(state, id, holdings);
  const belief = lifeOfTold(state, known, holdings);
  if (belief && takeHoldings(belief, holdings, state.clock.now())) noteChange(state);
}

function withhold(state: FleetState, models: ReadonlyMap<string, readonly string[]>): void {
  let freed = false;
  for (const belief of state.beliefs.values()) {
    const withheld = new Set(models.get(belief.listed.id) ?? []);
    if (withheld.size < belief.withheld.size) freed = true;
    belief.withheld = withheld;
  }
  if (freed) noteChange(state);
}

function deny(state: FleetState, id: string, key: string, forMs: Milliseconds): void {
  const belief = state.beliefs.get(id);
  if (!belief) return;
  const { sequence } = belief.holdings;
  belief.denied.set(key, { sequence, until: state.clock.now() + forMs });
  if (Number.isFinite(forMs)) state.clock.after(forMs, () => noteChange(state));
}

/** Longest back-off, whatever a target asks for: nobody learns that it has recovered while it gets no requests. */
const longestBackOffMs: Milliseconds = 10_000;

function backOff(state: FleetState, id: string, askedMs: Milliseconds): void {
  const belief = state.beliefs.get(id);
  if (!belief) return;
  const forMs = Math.min(askedMs, longestBackOffMs);
  belief.backOffUntil = Math.max(belief.backOffUntil, state.clock.now() + forMs);
  state.clock.after(forMs, () => noteChange(state));
}

function usable(state: FleetState, service: string): readonly TargetBelief[] {
  const now = state.clock.now();
  const targets = targetsOf(state, service);
  const staying = targets.filter((belief) => !belief.listed.leaving);
  const isListed = (belief: TargetBelief) =>
    belief.wentAt === undefined || wentInLapse(state, belief, targets);
  const sound = staying.filter(
    (belief) => isListed(belief) && !isEjected(belief.health, now) && now >= belief.backOffUntil,
  );
  // With nothing else left, a target that was left out is better than none.
  return sound.length > 0 ? sound : staying;
}

export function createFleet(kernel: Kernel, rules: FleetRules): Fleet {
  const state: FleetState = {
    clock: kernel.find(clockName),
    logger: kernel.find(loggerName),
    rules,
    beliefs: new Map(),
    early: new Map(),
    listeners: [],
    lifeListeners: [],
    engines: new Map(),
    ownWord: () => false,
  };
  const { beliefs, listeners } = state;
  return {
    takeList: (list) => takeList(state, list),
    takeEntry: (target) => takeEntry(state, target),
    dropEntry: (id) => dropEntry(state, id),
    leaveAlone: (id) => leaveAlone(state, id),
    takeState: (id, read, ageMs) => takeState(state, id, read, ageMs),
    takeHoldings: (id, holdings) => takeTold(state, id, holdings),
    takeOthers(loads) {
      for (const belief of beliefs.values()) belief.others = loads.get(belief.listed.id) ?? noLoad;
    },
    withhold: (models) => withhold(state, models),
    deny: (id, key, forMs = Infinity) => deny(state, id, key, forMs),
    backOff: (id, forMs) => backOff(state, id, forMs),
    succeeded(id) {
      const belief = beliefs.get(id);
      if (belief) belief.health = afterSuccess(belief.health);
    },
    failed: (id, reason) => worsen(state, id, reason, afterFailure),
    unreachable: (id, reason) => worsen(state, id, reason, afterRefusedConnection),
    find: (id) => beliefs.get(id),
    all: () => [...beliefs.values()],
    usable: (service) => usable(state, service),
    onLifeEnded: (listener) => void state.lifeListeners.push(listener),
    onChange: (listener) => void listeners.push(listener),
    setEngines(shapes) {
      state.engines = shapes;
    },
    trustOwnWord(fresh) {
      state.ownWord = fresh;
    },
    expireLapsed: (storeDisturbed) => expireLapsed(state, storeDisturbed),
  };
}
