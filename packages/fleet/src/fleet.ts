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
import { noLoad, applyHoldings, type TargetView, type TargetLoad } from "./target-view.js";
import {
  type FleetPolicies,
  type FleetState,
  notifyChange,
  targetsOfService,
} from "./fleet-state.js";
import { keepPendingHoldings, viewForDirectReport, viewForRelayedReport } from "./incarnations.js";
import { afterFailure, afterRefusedConnection, afterSuccess, isEjected } from "./health.js";
import {
  dropEntry,
  expireLapsed,
  leaveAlone,
  takeEntry,
  takeList,
  wentInLapse,
} from "./target-list.js";

export interface Fleet {
  /** Takes the whole list; targets that it lacks have lapsed or are gone. */
  applyList(list: readonly ListedTarget[]): void;
  applyEntry(target: ListedTarget): void;
  /** Takes that an entry has gone from the list. */
  removeEntry(id: string): void;
  /** Takes that an entry can't be read: its target is left alone, and what runs there ends well. */
  excludeUnreadable(id: string): void;
  applyState(id: string, state: EngineState, ageMs: Milliseconds): void;
  /** Takes what the holder of the order lease tells, also of a target that is not listed here yet. */
  applyRelayedHoldings(id: string, holdings: EngineInventory): void;
  /** Requests of the other boxes, by target. */
  setOtherBoxesLoads(loads: ReadonlyMap<string, TargetLoad>): void;
  setWithheldModels(models: ReadonlyMap<string, readonly string[]>): void;
  /** Notes that a target refused to serve weights; for `forMs`, or until it has taken an order. */
  recordModelRefusal(id: string, key: string, forMs?: Milliseconds): void;
  /** Notes that a target has asked for no requests for a time. */
  backOff(id: string, forMs: Milliseconds): void;
  recordSuccess(id: string): void;
  recordFailure(id: string, reason: string): void;
  /** Notes that nobody, or somebody else, listens at the target's address. */
  recordUnreachable(id: string, reason: string): void;
  find(id: string): TargetView | undefined;
  all(): readonly TargetView[];
  /** Targets of a service that may get new requests. */
  usableTargets(service: string): readonly TargetView[];
  /** Calls the listener with the id of a target whose life has ended here: it is gone, or has started again. */
  onIncarnationEnded(listener: (id: string) => void): void;
  /** Calls the listener after each change that may let a waiting request go on. */
  onChange(listener: () => void): void;
  setEngineShapes(shapes: ReadonlyMap<string, EngineSpec | undefined>): void;
  /** Tells when the list is to be believed about models: never while engines' own word is fresh. */
  preferDirectReportsWhile(fresh: () => boolean): void;
  /** Removes targets whose lapse has lasted longer than the grace. */
  expireMissing(storeDisturbed: boolean): void;
}

export const fleetName = serviceName<Fleet>("fleet");

/** Notes a failure, and leaves the target out where that makes too many. */
function worsen(state: FleetState, id: string, reason: string, after: typeof afterFailure): void {
  const { clock, logger, policies: rules } = state;
  const belief = state.targets.get(id);
  if (!belief) return;
  const before = belief.health;
  belief.health = after(before, rules.ejection, clock.now());
  if (belief.health.ejections === before.ejections) return;
  const forMs = Math.round(belief.health.ejectedUntil - clock.now());
  logger.event("targetEjected", { target: id, reason, forMs });
  clock.after(forMs, () => notifyChange(state));
}

function takeState(state: FleetState, id: string, read: EngineState, ageMs: Milliseconds): void {
  const known = state.targets.get(id);
  const now = state.clock.now();
  const at = now - ageMs;
  if (!known || at <= known.stateReadAt) return;
  const belief = viewForDirectReport(state, known, read);
  belief.state = read;
  belief.stateReadAt = at;
  if (applyHoldings(belief, read, now)) notifyChange(state);
}

function takeTold(state: FleetState, id: string, holdings: EngineInventory): void {
  const known = state.targets.get(id);
  if (!known) return keepPendingHoldings(state, id, holdings);
  const belief = viewForRelayedReport(state, known, holdings);
  if (belief && applyHoldings(belief, holdings, state.clock.now())) notifyChange(state);
}

function withhold(state: FleetState, models: ReadonlyMap<string, readonly string[]>): void {
  let freed = false;
  for (const belief of state.targets.values()) {
    const withheld = new Set(models.get(belief.listed.id) ?? []);
    if (withheld.size < belief.withheldModels.size) freed = true;
    belief.withheldModels = withheld;
  }
  if (freed) notifyChange(state);
}

function deny(state: FleetState, id: string, key: string, forMs: Milliseconds): void {
  const belief = state.targets.get(id);
  if (!belief) return;
  const { sequence } = belief.holdings;
  belief.modelRefusals.set(key, { sequence, until: state.clock.now() + forMs });
  if (Number.isFinite(forMs)) state.clock.after(forMs, () => notifyChange(state));
}

/** Longest back-off, whatever a target asks for: nobody learns that it has recovered while it gets no requests. */
const longestBackOffMs: Milliseconds = 10_000;

function backOff(state: FleetState, id: string, askedMs: Milliseconds): void {
  const belief = state.targets.get(id);
  if (!belief) return;
  const forMs = Math.min(askedMs, longestBackOffMs);
  belief.backOffUntil = Math.max(belief.backOffUntil, state.clock.now() + forMs);
  state.clock.after(forMs, () => notifyChange(state));
}

function usable(state: FleetState, service: string): readonly TargetView[] {
  const now = state.clock.now();
  const targets = targetsOfService(state, service);
  const staying = targets.filter((belief) => !belief.listed.leaving);
  const isListed = (belief: TargetView) =>
    belief.unlistedAt === undefined || wentInLapse(state, belief, targets);
  const sound = staying.filter(
    (belief) => isListed(belief) && !isEjected(belief.health, now) && now >= belief.backOffUntil,
  );
  // With nothing else left, a target that was left out is better than none.
  return sound.length > 0 ? sound : staying;
}

export function createFleet(kernel: Kernel, rules: FleetPolicies): Fleet {
  const state: FleetState = {
    clock: kernel.find(clockName),
    logger: kernel.find(loggerName),
    policies: rules,
    targets: new Map(),
    pendingHoldings: new Map(),
    changeListeners: [],
    incarnationListeners: [],
    engineShapes: new Map(),
    hasDirectReports: () => false,
  };
  const { targets: beliefs, changeListeners: listeners } = state;
  return {
    applyList: (list) => takeList(state, list),
    applyEntry: (target) => takeEntry(state, target),
    removeEntry: (id) => dropEntry(state, id),
    excludeUnreadable: (id) => leaveAlone(state, id),
    applyState: (id, read, ageMs) => takeState(state, id, read, ageMs),
    applyRelayedHoldings: (id, holdings) => takeTold(state, id, holdings),
    setOtherBoxesLoads(loads) {
      for (const belief of beliefs.values())
        belief.otherBoxesLoad = loads.get(belief.listed.id) ?? noLoad;
    },
    setWithheldModels: (models) => withhold(state, models),
    recordModelRefusal: (id, key, forMs = Infinity) => deny(state, id, key, forMs),
    backOff: (id, forMs) => backOff(state, id, forMs),
    recordSuccess(id) {
      const belief = beliefs.get(id);
      if (belief) belief.health = afterSuccess(belief.health);
    },
    recordFailure: (id, reason) => worsen(state, id, reason, afterFailure),
    recordUnreachable: (id, reason) => worsen(state, id, reason, afterRefusedConnection),
    find: (id) => beliefs.get(id),
    all: () => [...beliefs.values()],
    usableTargets: (service) => usable(state, service),
    onIncarnationEnded: (listener) => void state.incarnationListeners.push(listener),
    onChange: (listener) => void listeners.push(listener),
    setEngineShapes(shapes) {
      state.engineShapes = shapes;
    },
    preferDirectReportsWhile(fresh) {
      state.hasDirectReports = fresh;
    },
    expireMissing: (storeDisturbed) => expireLapsed(state, storeDisturbed),
  };
}
