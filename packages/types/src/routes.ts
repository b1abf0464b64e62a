/** Routes of opaque requests: what operators declare and a box holds in force. */
import type { Milliseconds } from "./identifiers.js";

/** Whether a request may run again after it may have run before. */
export type Repeatability = "repeatable" | "not_repeatable";

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Sends requests of one host and path prefix to a service. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly weightedServices: readonly WeightedService[];
  readonly repeatability: Repeatability;
  /** Answers are event streams. */
  readonly streaming: boolean;
  /** A stream that was cut may go on at another target after its last whole event. */
  readonly resumable: boolean;
  /** Longest time that a request may be held. */
  readonly timeoutMs: Milliseconds;
  /** Time within which an answer (the first event of a stream) is on time. */
  readonly objectiveMs: Milliseconds;
  /** Longest time that callers wait for the next event of a stream, the first one included; absent
   * where they wait until their deadline. */
  readonly eventTimeoutMs?: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** Requests need no key. */
  readonly anonymous: boolean;
}

/** What the limit of a client account counts. */
export type QuotaUnit = "requests" | "tokens";

/** How much a client account may have run, over all boxes together. */
export interface AccountLimit {
  readonly unit: QuotaUnit;
  /** Units a second. */
  readonly perSecond: number;
  /** Units beside the steady rate that may come at once. */
  readonly burst: number;
  /** What a request counts that says nothing of its tokens. */
  readonly defaultTokens: number;
}

/** A client account as operators declare it. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent where the account may send as much as it likes. */
  readonly limit?: AccountLimit;
}

/** Weights that engines can hold. */
export interface DeclaredModel {
  readonly name: string;
  readonly memoryMb: number;
  /** Time of a load from host memory. */
  readonly loadFromMemoryMs: Milliseconds;
  /** Time of a load from the target's disk. */
  readonly loadFromDiskMs: Milliseconds;
  /** Time of a load from the weight store. */
  readonly loadFromStoreMs: Milliseconds;
  readonly adapterMb: number;
}

/** What the engines of a service are like. */
export interface EngineSpec {
  /** Requests that an engine runs at once. */
  readonly slots: number;
  /** Tokens of running requests and cached prefixes together. */
  readonly cacheTokens: number;
  /** Memory for weights and adapters. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads a second that the weight store permits over all engines. */
  readonly storeLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, DeclaredModel>;
}

/** A group of like targets. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that a target takes from all callers together. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine?: EngineSpec;
}

/** What a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** One whole configuration. A box never goes back to a lower version. */
export interface RoutedConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Absent where callers need no keys at all. */
  readonly accounts?: readonly ClientAccount[];
}
