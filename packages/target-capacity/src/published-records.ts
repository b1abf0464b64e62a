/** Records of targets and kinds of work as told to other boxes, by the sequence of their changes. */
import type { Milliseconds } from "@linkfall/types";
import type { ServiceState } from "./service-capacities.js";
import type { TargetState } from "./target-state.js";
import type { CapacityChange, CapacityMessage, KindRecord, TargetRecord } from "./types.js";

/** Speeds are told in tenths; a change within a tenth is noise and not told. */
const stepsPerUnit = 10;
/** Costs are told again after a change by a tenth. */
const minCostChange = 0.1;
/** Observations before the costs of a kind are told to others. */
const minCostObservations = 20;
/** A target is looked at for changes at most this often, which bounds both the cost and the log events of a change. */
const minIntervalMs: Milliseconds = 200;

interface Published<T> {
  readonly record: T;
  readonly sequence: number;
  readonly at: Milliseconds;
}

export interface PublishedRecords {
  /** Publishes what has changed of the target and of the kind by a step. */
  update(target: TargetState, kind: string, now: Milliseconds): void;
  forget(target: string): void;
  since(sequence: number): CapacityMessage;
}

const costOf = ({ fixedMs, perUnitMs }: Pick<KindRecord, "fixedMs" | "perUnitMs">) =>
  fixedMs + perUnitMs;

function differs(a: KindRecord, b: KindRecord): boolean {
  return (
    Math.abs(costOf(a) - costOf(b)) > minCostChange * costOf(a) ||
    Math.abs(a.perUnitMs - b.perUnitMs) > minCostChange * a.perUnitMs
  );
}

/** @param onChange called when the record of a target has changed */
export function createPublishedRecords(
  relativeSpeed: (target: TargetState) => number,
  onChange: (change: CapacityChange) => void,
): PublishedRecords {
  const targets = new Map<string, Published<TargetRecord>>();
  const kinds = new Map<string, Published<KindRecord>>();
  const checkedAt = new Map<string, Milliseconds>();
  let sequence = 0;

  const updateTarget = (state: TargetState, now: Milliseconds) => {
    const { id, service } = state;
    const previous = targets.get(id)?.record;
    const speed = relativeSpeed(state) * stepsPerUnit;
    const useful = state.bound();
    const previousSpeed = previous?.speed ?? stepsPerUnit;
    const speedChanged = Math.abs(speed - previousSpeed) >= 1;
    if (previous && !speedChanged && useful === previous.useful) return;
    const record: TargetRecord = {
      target: id,
      speed: speedChanged ? Math.max(1, Math.round(speed)) : previousSpeed,
      ...(useful === undefined ? {} : { useful }),
    };
    targets.set(id, { record, sequence: ++sequence, at: now });
    if (record.speed === previousSpeed && useful === previous?.useful) return;
    onChange({
      service: service.name,
      target: id,
      relativeSpeed: record.speed / stepsPerUnit,
      previousSpeed: previousSpeed / stepsPerUnit,
      useful,
      previousUseful: previous?.useful,
    });
  };

  const updateKind = (service: ServiceState, kind: string, now: Milliseconds) => {
    const estimate = service.costsOf(kind);
    if (estimate.count() < minCostObservations) return;
    const key = `${service.name} ${kind}`;
    const published = kinds.get(key);
    const { fixedMs, perUnitMs } = estimate.costs();
    const factor = Math.exp(service.medianSlowness(now));
    const record: KindRecord = {
      service: service.name,
      kind,
      fixedMs: Number((fixedMs * factor).toPrecision(3)),
      perUnitMs: Number((perUnitMs * factor).toPrecision(3)),
    };
    if (published && !differs(published.record, record)) return;
    kinds.set(key, { record, sequence: ++sequence, at: now });
  };

  return {
    update(target, kind, now) {
      if (now - (checkedAt.get(target.id) ?? -Infinity) < minIntervalMs) return;
      checkedAt.set(target.id, now);
      updateTarget(target, now);
      updateKind(target.service, kind, now);
    },
    forget(target) {
      targets.delete(target);
      checkedAt.delete(target);
    },
    since(known) {
      // A sequence from before a restart of this box is larger than any of this one.
      const from = known > sequence ? 0 : known;
      const select = <T>(records: ReadonlyMap<string, Published<T>>): T[] => {
        if (from === sequence) return [];
        return [...records.values()].filter((one) => one.sequence > from).map((one) => one.record);
      };
      return { sequence, targets: select(targets), kinds: select(kinds) };
    },
  };
}
