/** One box's view of the targets: which are listed, what they have loaded, their load and health. */
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import {
  createDepartedTargets,
  createLeavingTargets,
  type DepartedTargets,
  type LeavingTargets,
} from "@linkfall/leaving-targets";
import { loggerName } from "@linkfall/logger";
import {
  type DepartureMessage,
  type EngineInventory,
  type EngineSpec,
  type EngineState,
  type Incarnation,
  type ListedTarget,
  type ListSource,
  type Milliseconds,
} from "@linkfall/types";
import { applyHoldings, noLoad, type TargetLoad, type TargetView } from "./target-view.js";
import {
  type FleetPolicies,
  type FleetState,
  notifyChange,
  targetsOfService,
} from "./fleet-state.js";
import { applyDeparture, applyDepartures, applyLeavingNotice } from "./departures.js";
import { keepPendingHoldings, viewForDirectReport, viewForRelayedReport } from "./incarnations.js";
import {
  acceptsInMs,
  recordRest,
  recordSend,
  type RestingTarget,
  type RestRequest,
  restRemainingMs,
} from "./rests.js";
import {
  afterConnectFailure,
  afterFailure,
  afterRefusedConnection,
  afterSuccess,
  isEjected,
  withoutConnectFailures,
} from "./health.js";
import {
  applyEntry,
  applyList,
  disappearedInLapse,
  excludeUnreadable,
  expireMissing,
  removeEntry,
} from "./target-list.js";

/** Tracks the targets of all services from the target list, direct and relayed reports, and request outcomes. */
export interface Fleet {
  /**
   * Applies the complete list; targets that it lacks have left if the change is continuous, else they become missing. If the
   * list was restored from an older copy, their entries may be written again, and they stay in use for the grace period.
   */
  applyList(list: readonly ListedTarget[], source: ListSource, isRestored?: boolean): void;
  /** Applies one new or changed entry. */
  applyEntry(target: ListedTarget, source: ListSource): void;
  /** Handles an entry that was deleted from the list: its target has left if the change is continuous, else it is missing. */
  removeEntry(id: string, source: ListSource): void;
  /** Handles an entry that can't be read: its target gets no new requests; those in flight continue. */
  excludeUnreadable(id: string): void;
  /** Notices of targets that have said in a response that they are leaving; they get no new requests. */
  readonly leavingTargets: LeavingTargets;
  /** Targets whose entries disappeared while the store served the list; they get no new requests. */
  readonly departedTargets: DepartedTargets;
  /** Applies departures that another box has recorded, except of targets that have been listed here since. */
  applyDepartures(from: Incarnation, message: DepartureMessage): void;
  /** Applies a state that the target itself reported `ageMs` ago. */
  applyState(id: string, state: EngineState, ageMs: Milliseconds): void;
  /** Applies holdings relayed by the lease holder, also of a target that is not listed here yet. */
  applyRelayedHoldings(id: string, holdings: EngineInventory): void;
  /** Replaces the load caused by other boxes, by target id. */
  setOtherBoxesLoads(loads: ReadonlyMap<string, TargetLoad>): void;
  /** Replaces the models about to be unloaded, by target id; they get no new requests. */
  setWithheldModels(models: ReadonlyMap<string, readonly string[]>): void;
  /** Records that a target refused to serve a model (`model` or `model/adapter`), for `forMs` or until newer holdings. */
  recordModelRefusal(id: string, key: string, forMs?: Milliseconds): void;
  /** Sends a target no new requests for a time, as it asked. */
  recordRest(rest: RestRequest): void;
  /** Time until the end of the rest that the target asked for; 0 if it does not rest. */
  restRemainingMs(target: TargetView): Milliseconds;
  /** Counts a send; a target whose rest has just ended gets its next requests one after the other. */
  recordSend(target: TargetView): void;
  /** Records a successful response. */
  recordSuccess(id: string): void;
  /** Records a failure caused by the target, and ejects it after too many in a row. */
  recordFailure(id: string, reason: string): void;
  /** Records that a connection to the target was not established in time; counts as a failure. */
  recordConnectFailure(id: string, reason: string): void;
  /** Records that the target is not listening at its address, and ejects it. */
  recordUnreachable(id: string, reason: string): void;
  /** Undoes the effects of all failed connections at `since` or later, which were caused by this box's links. */
  forgetConnectFailures(since: Milliseconds): void;
  /** Returns the target, also while it is missing from the list. */
  find(id: string): TargetView | undefined;
  /** Returns all targets, listed or missing. */
  all(): readonly TargetView[];
  /** Returns the targets of a service, or of one software version of it, that may get new requests. */
  usableTargets(service: string, softwareVersion?: string): readonly TargetView[];
  /** Returns the targets of a service, or of one software version of it, that would be usable if they did not rest. */
  restingTargets(service: string, softwareVersion?: string): readonly RestingTarget[];
  /** Calls the listener with each list entry that is applied. */
  onListed(listener: (listed: ListedTarget) => void): void;
  /** Calls the listener with the id of a target that is gone or has restarted. */
  onIncarnationEnded(listener: (id: string) => void): void;
  /** Calls the listener after each change that may allow a waiting request to proceed. */
  onChange(listener: () => void): void;
  /** Sets the engine shapes by service; undefined for a service without engines. */
  setEngineShapes(shapes: ReadonlyMap<string, EngineSpec | undefined>): void;
  /** Ignores the models of the list while `fresh` returns true, in favour of the engines' own reports. */
  preferDirectReportsWhile(fresh: () => boolean): void;
  /** Removes targets missing for longer than the grace period, which does not end while the list is unsettled. */
  expireMissing(isListSettled: boolean): void;
}

/** Name of the fleet in the kernel. */
export const fleetName = serviceName<Fleet>("fleet");

/** Updates the target's health after a failure, and logs an ejection. */
function updateHealth(
  state: FleetState,
  id: string,
  reason: string,
  nextHealth: typeof afterFailure,
): void {
  const { clock, logger, policies } = state;
  const target = state.targets.get(id);
  if (!target) return;
  const before = target.health;
  target.health = nextHealth(before, policies.ejection, clock.now());
  if (target.health.ejections === before.ejections) return;
  const forMs = Math.round(target.health.ejectedUntil - clock.now());
  logger.event("targetEjected", { target: id, reason, forMs });
  clock.after(forMs, () => notifyChange(state));
}

function forgetConnectFailures(state: FleetState, since: Milliseconds): void {
  for (const target of state.targets.values())
    target.health = withoutConnectFailures(target.health, since);
  notifyChange(state);
}

function applyState(
  state: FleetState,
  id: string,
  reported: EngineState,
  ageMs: Milliseconds,
): void {
  const known = state.targets.get(id);
  const now = state.clock.now();
  const at = now - ageMs;
  if (!known || at <= known.stateReadAt) return;
  const target = viewForDirectReport(state, known, reported);
  if (reported.leaving) state.leavingTargets.record({ target: id, born: target.born }, "target");
  target.state = reported;
  target.stateReadAt = at;
  if (applyHoldings(target, reported, now)) notifyChange(state);
}

function applyRelayedHoldings(state: FleetState, id: string, holdings: EngineInventory): void {
  const known = state.targets.get(id);
  if (!known) return keepPendingHoldings(state, id, holdings);
  const target = viewForRelayedReport(state, known, holdings);
  if (target && applyHoldings(target, holdings, state.clock.now())) notifyChange(state);
}

function setWithheldModels(
  state: FleetState,
  models: ReadonlyMap<string, readonly string[]>,
): void {
  let anyReleased = false;
  for (const target of state.targets.values()) {
    const withheld = new Set(models.get(target.listed.id) ?? []);
    if (withheld.size < target.withheldModels.size) anyReleased = true;
    target.withheldModels = withheld;
  }
  if (anyReleased) notifyChange(state);
}

function recordModelRefusal(state: FleetState, id: string, key: string, forMs: Milliseconds): void {
  const target = state.targets.get(id);
  if (!target) return;
  const { sequence } = target.holdings;
  target.modelRefusals.set(key, { sequence, until: state.clock.now() + forMs });
  if (Number.isFinite(forMs)) state.clock.after(forMs, () => notifyChange(state));
}

function isAvailable(
  state: FleetState,
  target: TargetView,
  targets: readonly TargetView[],
): boolean {
  const isListed = target.unlistedAt === undefined || disappearedInLapse(state, target, targets);
  return isListed && !isEjected(target.health, state.clock.now());
}

function hasVersion({ listed }: TargetView, softwareVersion: string | undefined): boolean {
  return softwareVersion === undefined || listed.softwareVersion === softwareVersion;
}

function usableTargets(
  state: FleetState,
  service: string,
  softwareVersion: string | undefined,
): readonly TargetView[] {
  const targets = targetsOfService(state, service);
  const accepting = targets
    .filter((target) => hasVersion(target, softwareVersion))
    .filter((target) => !target.listed.leaving && acceptsInMs(state, target) === 0);
  const available = accepting.filter((target) => isAvailable(state, target, targets));
  // If no target is available, an ejected or missing one is better than none. A rest is different: the target itself asked.
  return available.length > 0 ? available : accepting;
}

function restingTargets(
  state: FleetState,
  service: string,
  softwareVersion: string | undefined,
): readonly RestingTarget[] {
  const targets = targetsOfService(state, service);
  return targets
    .filter((target) => !target.listed.leaving && isAvailable(state, target, targets))
    .filter((target) => hasVersion(target, softwareVersion))
    .map((target) => ({ target, acceptsInMs: acceptsInMs(state, target) }))
    .filter((resting) => resting.acceptsInMs > 0);
}

/** Creates a fleet without targets. */
export function createFleet(kernel: Kernel, policies: FleetPolicies): Fleet {
  const clock = kernel.find(clockName);
  const state: FleetState = {
    clock,
    logger: kernel.find(loggerName),
    policies,
    targets: new Map(),
    leavingTargets: createLeavingTargets(clock),
    departedTargets: createDepartedTargets(clock, policies.lapse.returnMs),
    rests: new Map(),
    pendingHoldings: new Map(),
    changeListeners: [],
    listedListeners: [],
    incarnationListeners: [],
    engineShapes: new Map(),
    hasDirectReports: () => false,
  };
  const { targets, changeListeners, leavingTargets, departedTargets } = state;
  leavingTargets.onNotice((notice, source) => applyLeavingNotice(state, notice, source));
  departedTargets.onDeparture((departure, source) => applyDeparture(state, departure, source));
  return {
    leavingTargets,
    departedTargets,
    applyDepartures: (from, message) => applyDepartures(state, from, message),
    applyList: (list, source, isRestored = false) => applyList(state, list, source, isRestored),
    applyEntry: (target, source) => applyEntry(state, target, source),
    removeEntry: (id, source) => removeEntry(state, id, source),
    excludeUnreadable: (id) => excludeUnreadable(state, id),
    applyState: (id, reported, ageMs) => applyState(state, id, reported, ageMs),
    applyRelayedHoldings: (id, holdings) => applyRelayedHoldings(state, id, holdings),
    setOtherBoxesLoads(loads) {
      for (const target of targets.values())
        target.otherBoxesLoad = loads.get(target.listed.id) ?? noLoad;
    },
    setWithheldModels: (models) => setWithheldModels(state, models),
    recordModelRefusal: (id, key, forMs = Infinity) => recordModelRefusal(state, id, key, forMs),
    recordRest: (rest) => recordRest(state, rest),
    restRemainingMs: (target) => restRemainingMs(state, target),
    recordSend: (target) => recordSend(state, target),
    recordSuccess(id) {
      const target = targets.get(id);
      if (target) target.health = afterSuccess(target.health);
    },
    recordFailure: (id, reason) => updateHealth(state, id, reason, afterFailure),
    recordConnectFailure: (id, reason) =>
      updateHealth(state, id, reason, (health, policy, now) =>
        afterConnectFailure(health, afterFailure, policy, now),
      ),
    recordUnreachable: (id, reason) =>
      updateHealth(state, id, reason, (health, policy, now) =>
        afterConnectFailure(health, afterRefusedConnection, policy, now),
      ),
    forgetConnectFailures: (since) => forgetConnectFailures(state, since),
    find: (id) => targets.get(id),
    all: () => [...targets.values()],
    usableTargets: (service, softwareVersion) => usableTargets(state, service, softwareVersion),
    restingTargets: (service, softwareVersion) => restingTargets(state, service, softwareVersion),
    onListed: (listener) => void state.listedListeners.push(listener),
    onIncarnationEnded: (listener) => void state.incarnationListeners.push(listener),
    onChange: (listener) => void changeListeners.push(listener),
    setEngineShapes(shapes) {
      state.engineShapes = shapes;
    },
    preferDirectReportsWhile(fresh) {
      state.hasDirectReports = fresh;
    },
    expireMissing: (isListSettled) => expireMissing(state, isListSettled),
  };
}
