/**
 * Learns how fast the engines of a deployment are, from the intervals between the events of their streams. In a large
 * deployment one box sees a stream of a given engine only now and then, so that the lease holder merges the observations of
 * all boxes and reports the speeds with its heartbeats. A new lease holder continues from the speeds that it has received.
 */
import { serviceName } from "@linkfall/kernel";
import type { CapacityMessage, TargetCapacities } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";

/** The event interval of one stream. */
export interface IntervalObservation {
  readonly target: string;
  /** Streams are compared within one kind: models of the same size decode alike. */
  readonly kind: string;
  /** Requests at the engine when the stream began, this one included. */
  readonly concurrency: number;
  /** Median time between two reads of the stream; prefills of other prompts only lengthen a few of them. */
  readonly intervalMs: Milliseconds;
}

export interface EngineSpeeds {
  /** Records the reads of a stream that has ended; too few of them say nothing. */
  recordStream(stream: Omit<IntervalObservation, "intervalMs">, gapsMs: readonly number[]): void;
  /** Returns the observations since the last call, for the lease holder. */
  takeObservations(): readonly IntervalObservation[];
  /** Merges the observations of a box, as the lease holder. */
  merge(observer: string, observations: readonly IntervalObservation[]): void;
  /** Speed relative to the median engine of the service; 1 if unknown. */
  relativeSpeed(target: string): number;
  /** Speeds that changed since a sequence, for another box. */
  recordsSince(sequence: number): CapacityMessage;
  /** Applies the speeds that the lease holder reports. */
  applyRecords(holder: string, message: CapacityMessage): void;
  /** Drops what is known of an engine whose incarnation has ended. */
  forget(target: string): void;
}

export const engineSpeedsName = serviceName<EngineSpeeds>("engine-speeds");

/** With fewer intervals, one prefill of another prompt would determine the median. */
const minIntervals = 5;
/** Observations kept for the next heartbeat; more arrive only if the lease holder cannot be reached. */
const maxObservations = 64;

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1];
}

/** Creates the speeds of engines, learned as the capacities of targets. */
export function createEngineSpeeds(capacities: TargetCapacities): EngineSpeeds {
  let observations: IntervalObservation[] = [];
  return {
    recordStream(stream, gapsMs) {
      if (gapsMs.length < minIntervals) return;
      const intervalMs = Math.max(1, Math.round(medianOf(gapsMs)));
      if (observations.length >= maxObservations) observations.shift();
      observations.push({ ...stream, intervalMs });
    },
    takeObservations() {
      const taken = observations;
      observations = [];
      return taken;
    },
    merge(observer, merged) {
      for (const { target, kind, concurrency, intervalMs } of merged)
        capacities.observe({
          target,
          kind,
          observer,
          concurrency,
          amount: 1,
          durationMs: intervalMs,
        });
    },
    relativeSpeed: capacities.relativeSpeed,
    recordsSince: capacities.recordsSince,
    applyRecords: capacities.applyRecords,
    forget: capacities.forget,
  };
}
