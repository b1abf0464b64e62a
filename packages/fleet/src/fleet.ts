/** The targets as one box believes them to be: listed, lapsed or gone, what they hold, their load. */
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type {
  EngineShape,
  EngineState,
  Holdings,
  ListedTarget,
  Milliseconds,
} from "@linkfall/types";
import {
  createBelief,
  takeHoldings,
  takeListedModels,
  type TargetBelief,
  type TargetLoad,
  noLoad,
} from "./belief.js";
import {
  afterFailure,
  afterRefusedConnection,
  afterSuccess,
  type EjectionRule,
  isEjected,
} from "./health.js";

/** How long a target whose entry lapsed goes on being believed in. */
export interface LapseRule {
  /** After the store has come back, or after a lapse of many entries at once. */
  readonly graceMs: Milliseconds;
  /** Share of a service's entries that go within the grace to be taken for a lapse. */
  readonly share: number;
}

export interface FleetRules {
  readonly lapse: LapseRule;
  readonly ejection: EjectionRule;
}

export interface Fleet {
  /** Takes the whole list; targets that it lacks have lapsed or are gone. */
  takeList(list: readonly ListedTarget[], storeDisturbed: boolean): void;
  takeEntry(target: ListedTarget): void;
  /** Takes that an entry has gone from the list. */
  dropEntry(id: string, storeDisturbed: boolean): void;
  takeState(id: string, state: EngineState, ageMs: Milliseconds): void;
  takeHoldings(id: string, holdings: Holdings): void;
  /** Requests of the other boxes, by target. */
  takeOthers(loads: ReadonlyMap<string, TargetLoad>): void;
  withhold(models: ReadonlyMap<string, readonly string[]>): void;
  /** Notes that a target refused to serve weights; for `forMs`, or until it has taken an order. */
  deny(id: string, key: string, forMs?: Milliseconds): void;
  succeeded(id: string): void;
  failed(id: string, reason: string): void;
  /** Notes that nobody, or somebody else, listens at the target's address. */
  unreachable(id: string, reason: string): void;
  find(id: string): TargetBelief | undefined;
  all(): readonly TargetBelief[];
  /** Targets of a service that may get new requests. */
  usable(service: string): readonly TargetBelief[];
  /** Calls the listener after each change that may let a waiting request go on. */
  onChange(listener: () => void): void;
  setEngines(shapes: ReadonlyMap<string, EngineShape | undefined>): void;
  /** Tells when the list is to be believed about models: never while engines' own word is fresh. */
  trustOwnWord(fresh: () => boolean): void;
  /** Removes targets whose lapse has lasted longer than the grace. */
  expireLapsed(storeDisturbed: boolean): void;
}

export const fleetName = serviceName<Fleet>("fleet");

export function createFleet(kernel: Kernel, rules: FleetRules): Fleet {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const beliefs = new Map<string, TargetBelief>();
  const listeners: (() => void)[] = [];
  let ownWord = () => false;
  let engines: ReadonlyMap<string, EngineShape | undefined> = new Map();

  const changed = () => {
    for (const listener of listeners) listener();
  };

  const add = (listed: ListedTarget) => {
    beliefs.set(listed.id, createBelief(listed, engines.get(listed.service), clock.now()));
    logger.event("targetSeen", {
      target: listed.id,
      service: listed.service,
      address: listed.address,
    });
  };

  const noteLeaving = (belief: TargetBelief, listed: ListedTarget) => {
    if (!listed.leaving || belief.listed.leaving) return;
    logger.event("targetLeaving", { target: listed.id, service: listed.service });
  };

  const update = (listed: ListedTarget) => {
    const belief = beliefs.get(listed.id);
    if (!belief) return add(listed);
    noteLeaving(belief, listed);
    // A target that once said that it leaves does not come back under the same id.
    belief.listed = { ...listed, leaving: listed.leaving || belief.listed.leaving };
    belief.missingSince = undefined;
    if (!ownWord()) takeListedModels(belief, clock.now());
  };

  const remove = (belief: TargetBelief, why: string) => {
    beliefs.delete(belief.listed.id);
    logger.event("targetGone", { target: belief.listed.id, why });
  };

  const serviceSize = (service: string) =>
    [...beliefs.values()].filter((belief) => belief.listed.service === service);

  /** Whether so many entries of a service are missing that the list is to blame. */
  const looksLikeLapse = (service: string): boolean => {
    const targets = serviceSize(service);
    const missing = targets.filter((target) => target.missingSince !== undefined);
    return missing.length >= 2 && missing.length >= targets.length * rules.lapse.share;
  };

  const miss = (belief: TargetBelief) => {
    if (belief.missingSince !== undefined) return;
    belief.missingSince = clock.now();
    logger.event("targetMissing", { target: belief.listed.id, service: belief.listed.service });
  };

  const expireLapsed = (storeDisturbed: boolean) => {
    if (storeDisturbed) {
      // Nobody can renew an entry now: the grace begins with the store's return.
      for (const belief of beliefs.values()) {
        if (belief.missingSince !== undefined) belief.missingSince = clock.now();
      }
      return;
    }
    for (const belief of [...beliefs.values()]) {
      const { missingSince } = belief;
      if (missingSince === undefined) continue;
      if (clock.now() - missingSince > rules.lapse.graceMs) remove(belief, "not listed again");
    }
  };

  const worsen = (id: string, reason: string, after: typeof afterFailure) => {
    const belief = beliefs.get(id);
    if (!belief) return;
    const before = belief.health;
    belief.health = after(before, rules.ejection, clock.now());
    if (belief.health.ejections === before.ejections) return;
    const forMs = Math.round(belief.health.ejectedUntil - clock.now());
    logger.event("targetEjected", { target: id, reason, forMs });
    clock.after(forMs, changed);
  };

  const usableNow = (belief: TargetBelief) => {
    if (belief.listed.leaving) return false;
    return !isEjected(belief.health, clock.now());
  };

  return {
    takeList(list) {
      const names = new Set(list.map((target) => target.id));
      for (const target of list) update(target);
      for (const belief of beliefs.values()) {
        if (!names.has(belief.listed.id)) miss(belief);
      }
      changed();
    },
    takeEntry(target) {
      update(target);
      changed();
    },
    dropEntry(id) {
      const belief = beliefs.get(id);
      if (!belief) return;
      if (belief.listed.leaving) remove(belief, "left");
      else miss(belief);
    },
    takeState(id, state, ageMs) {
      const belief = beliefs.get(id);
      if (!belief) return;
      const at = clock.now() - ageMs;
      if (at <= belief.stateAt) return;
      belief.state = state;
      belief.stateAt = at;
      if (takeHoldings(belief, state, clock.now())) changed();
    },
    takeHoldings(id, holdings) {
      const belief = beliefs.get(id);
      if (belief && takeHoldings(belief, holdings, clock.now())) changed();
    },
    takeOthers(loads) {
      for (const belief of beliefs.values()) belief.others = loads.get(belief.listed.id) ?? noLoad;
    },
    withhold(models) {
      let freed = false;
      for (const belief of beliefs.values()) {
        const withheld = new Set(models.get(belief.listed.id) ?? []);
        if (withheld.size < belief.withheld.size) freed = true;
        belief.withheld = withheld;
      }
      if (freed) changed();
    },
    deny(id, key, forMs = Infinity) {
      const belief = beliefs.get(id);
      if (!belief) return;
      const { sequence } = belief.holdings;
      belief.denied.set(key, { sequence, until: clock.now() + forMs });
      if (Number.isFinite(forMs)) clock.after(forMs, changed);
    },
    succeeded(id) {
      const belief = beliefs.get(id);
      if (belief) belief.health = afterSuccess(belief.health);
    },
    failed: (id, reason) => worsen(id, reason, afterFailure),
    unreachable: (id, reason) => worsen(id, reason, afterRefusedConnection),
    find: (id) => beliefs.get(id),
    all: () => [...beliefs.values()],
    usable(service) {
      const targets = serviceSize(service);
      const present = targets.filter((target) => target.missingSince === undefined);
      const lapse = looksLikeLapse(service);
      const sound = (lapse ? targets : present).filter(usableNow);
      if (sound.length > 0) return sound;
      // With nothing else left, a target that was left out is better than none.
      return targets.filter((target) => !target.listed.leaving);
    },
    onChange: (listener) => void listeners.push(listener),
    setEngines(shapes) {
      engines = shapes;
    },
    trustOwnWord(fresh) {
      ownWord = fresh;
    },
    expireLapsed,
  };
}
