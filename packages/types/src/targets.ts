/** Reports that targets send about themselves. They may be delayed or lost. */
import type { Epoch, Mebibytes } from "./identifiers.js";
import type { EngineRole } from "./resources.js";

/** States of an artifact that occupies accelerator memory. */
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

/** A status report of an engine. */
export interface EngineReport {
  readonly engine: string;
  /** Identifies one run of the engine; its memory is empty after a restart. */
  readonly engineIncarnation: string;
  /** Incremented by one with each report of this incarnation. */
  readonly sequence: number;
  /** Highest epoch that the engine has accepted; 0 for an engine without fencing. */
  readonly fence: Epoch;
  readonly role: EngineRole;
  readonly residents: readonly Resident[];
  /** Number of requests in the batch. */
  readonly running: number;
  /** Number of requests that wait to join the batch. */
  readonly queued: number;
  /** Output tokens still to be generated for running and queued requests. */
  readonly pendingTokens: number;
  /** Generated tokens per second over the last second in which the engine was busy. */
  readonly tokensPerSecond: number;
  readonly leaving: boolean;
  /** Identifiers of the most recent orders that were carried out or refused, newest last. */
  readonly settledOrders: readonly string[];
}

/** The fields of a report that change only with orders and restarts. */
export type ReportPlacement = Pick<
  EngineReport,
  "engineIncarnation" | "fence" | "role" | "residents" | "settledOrders"
>;

/** The fields of a report that change with every request. */
export type ReportLoad = Omit<EngineReport, keyof ReportPlacement>;

/** Insertion into or eviction from an engine's prefix cache. */
export interface CacheEvent {
  /** Incremented by one with each event of the engine's incarnation; a gap means lost events. */
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixKey: string;
}

/** Returns the artifact identifier of a model version. */
export function modelArtifact(name: string, version: string): string {
  return `model:${name}@${version}`;
}

/** Returns the artifact identifier of an adapter version. */
export function adapterArtifact(name: string, version: string): string {
  return `adapter:${name}@${version}`;
}
