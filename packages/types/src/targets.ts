/** What targets report about themselves. Reports come late and may be lost. */
import type { Epoch, Mebibytes } from "./identifiers.js";
import type { EngineRole } from "./resources.js";

/** States of something that occupies accelerator memory. */
export const residentStates = ["loading", "ready", "unloading"] as const;
export type ResidentState = (typeof residentStates)[number];

/** A model version or an adapter version on one accelerator. */
export interface Resident {
  /** `model:<name>@<version>` or `adapter:<name>@<version>`; see {@link modelArtifact}. */
  readonly artifact: string;
  readonly accelerator: number;
  readonly sizeMb: Mebibytes;
  readonly state: ResidentState;
}

/** One report of an engine. */
export interface EngineReport {
  readonly engine: string;
  /** Names one start of the engine; memory is empty after a restart. */
  readonly engineIncarnation: string;
  /** Grows by one with each report of this incarnation. */
  readonly sequence: number;
  /** Highest fence that the engine has accepted; 0 for an engine that does not check. */
  readonly fence: Epoch;
  readonly role: EngineRole;
  readonly residents: readonly Resident[];
  /** Requests that run in the batch. */
  readonly running: number;
  /** Requests that wait for a place in the batch. */
  readonly queued: number;
  /** Output tokens that are still to be generated, of running and queued requests. */
  readonly pendingTokens: number;
  /** Generated tokens a second, over the last second in which it was busy. */
  readonly tokensPerSecond: number;
  readonly leaving: boolean;
  /** Identifiers of orders that have been carried out or refused, newest last, bounded. */
  readonly settledOrders: readonly string[];
}

/** The part of a report that changes only with orders and restarts. */
export type ReportPlacement = Pick<
  EngineReport,
  "engineIncarnation" | "fence" | "role" | "residents" | "settledOrders"
>;

/** The part of a report that changes with every request. */
export type ReportLoad = Omit<EngineReport, keyof ReportPlacement>;

/** An entry of an engine's prefix cache that came or went. */
export interface CacheEvent {
  /** Grows by one with each event of the engine's incarnation; a jump is a gap. */
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixKey: string;
}

/** Artifact identifier of a model version. */
export function modelArtifact(name: string, version: string): string {
  return `model:${name}@${version}`;
}

/** Artifact identifier of an adapter version on its base model's version. */
export function adapterArtifact(name: string, version: string): string {
  return `adapter:${name}@${version}`;
}
