/** Observations of targets, and what is learned from them. */
import type { Milliseconds } from "@linkfall/types";
import type { WorkCosts } from "./work-costs.js";

/** One piece of work that a target has completed. */
export interface CapacityObservation {
  readonly target: string;
  /** Durations are compared within one kind of work: the route of a plain service, "prefill" or "decode" of an engine. */
  readonly kind: string;
  /** Box that measured it. */
  readonly observer: string;
  /** Requests at the target when the work began, this one included. */
  readonly concurrency: number;
  /**
   * Requests at the target when the work ended, this one included, if known. With it a target that slows down beyond some
   * concurrency is found sooner: work that begins below it may spend its time above.
   */
  readonly concurrencyAtEnd?: number;
  /** Amount of work: 1 for a plain response, prompt tokens for prefill, events for decode. */
  readonly amount: number;
  readonly durationMs: Milliseconds;
}

/** Work that has not ended yet. */
export type RunningWork = Omit<CapacityObservation, "durationMs" | "concurrencyAtEnd">;

/** What the sender has observed of one target. */
export interface TargetRecord {
  readonly target: string;
  /** Speed relative to the median of its service, in tenths. */
  readonly speed: number;
  /** Useful concurrency; absent if no bound below the target's slots is known. */
  readonly useful?: number;
}

/** What the sender has observed of one kind of work, at a target of median speed. */
export interface KindRecord {
  readonly service: string;
  readonly kind: string;
  readonly fixedMs: Milliseconds;
  readonly perUnitMs: Milliseconds;
}

/** Records that changed since a sequence. */
export interface CapacityMessage {
  /** Sequence up to which the recipient has the sender's records after this message. */
  readonly sequence: number;
  readonly targets: readonly TargetRecord[];
  readonly kinds: readonly KindRecord[];
}

/** A target's capacity after a change by at least one step. */
export interface CapacityChange {
  readonly service: string;
  readonly target: string;
  readonly relativeSpeed: number;
  readonly previousSpeed: number;
  /** Useful concurrency; undefined if no bound below the target's slots is known. */
  readonly useful: number | undefined;
  readonly previousUseful: number | undefined;
}

export interface CapacityOptions {
  /** Service of a target, whose targets are compared with each other. Default: all targets belong to one service. */
  readonly serviceOf?: (target: string) => string;
  /** Costs of a kind of work until its first observation. */
  readonly initialCosts?: (kind: string) => WorkCosts;
  /** Called when a target's speed or useful concurrency has changed by a step. */
  readonly onChange?: (change: CapacityChange) => void;
}

export interface TargetCapacities {
  observe(observation: CapacityObservation): void;
  /** The target rejected a request for want of room at this concurrency. */
  observeRejection(target: string, concurrency: number): void;
  /**
   * Work that has not ended after `elapsedMs`: evidence of slowness before its end. It may be reported repeatedly, for
   * example every 20 ms.
   */
  observeRunning(work: RunningWork, elapsedMs: Milliseconds): void;
  expectedMs(target: string, kind: string, amount: number, concurrency: number): Milliseconds;
  /** Requests at a time that the target takes without losing throughput; at most `slots`, at least 1. */
  usefulConcurrency(target: string, slots: number): number;
  /** Speed relative to the median of its service; 1 if unknown. */
  relativeSpeed(target: string): number;
  /**
   * Whether the target looks slow and has had no observation for so long that a request should confirm it. The caller
   * sends one request at a time for this reason, and none while the target has others in flight.
   */
  isProbeDue(target: string): boolean;
  /** Drops what is known of a target whose incarnation has ended. */
  forget(target: string): void;
  /** Records in steps of a tenth, for other boxes; `since` is the sequence up to which the recipient has them. */
  recordsSince(since: number): CapacityMessage;
  applyRecords(from: string, message: CapacityMessage): void;
}
