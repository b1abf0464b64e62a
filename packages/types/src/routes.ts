/** Configuration of routes, services and client accounts for opaque requests. */
import type { Milliseconds } from "./identifiers.js";

/** Whether a request may be retried after an attempt that may have run. */
export type Repeatability = "repeatable" | "not_repeatable";

/** A service with its weight in a route's traffic split. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the weights of the route's other services. */
  readonly weight: number;
}

/** Routes requests of one host and path prefix to one or more services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly weightedServices: readonly WeightedService[];
  readonly repeatability: Repeatability;
  /** Whether responses are event streams. */
  readonly streaming: boolean;
  /** Whether an interrupted stream may be resumed on another target after its last complete event. */
  readonly resumable: boolean;
  /** Maximum time that a request may take. */
  readonly timeoutMs: Milliseconds;
  /** Latency objective for the response (for a stream, its first event). */
  readonly objectiveMs: Milliseconds;
  /** Time after which callers abandon a stream that sends no event, also before the first one; absent
   * if they wait until their deadline. */
  readonly eventTimeoutMs?: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of targets that a request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests without an API key are accepted. */
  readonly anonymous: boolean;
}

/** Unit in which the limit of a client account is counted. */
export type QuotaUnit = "requests" | "tokens";

/** Rate limit of a client account over all boxes. */
export interface AccountLimit {
  readonly unit: QuotaUnit;
  /** Units per second. */
  readonly perSecond: number;
  /** Units that may be used at once beyond the steady rate. */
  readonly burst: number;
  /** Tokens charged for a request that does not declare its token counts. */
  readonly defaultTokens: number;
}

/** A client account as declared by operators. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent if the account is not limited. */
  readonly limit?: AccountLimit;
}

/** A model that engines can load. */
export interface DeclaredModel {
  readonly name: string;
  readonly memoryMb: number;
  /** Duration of a load from host memory. */
  readonly loadFromMemoryMs: Milliseconds;
  /** Duration of a load from the target's disk. */
  readonly loadFromDiskMs: Milliseconds;
  /** Duration of a load from the weight store. */
  readonly loadFromStoreMs: Milliseconds;
  /** Memory of one adapter of the model. */
  readonly adapterMb: number;
}

/** Capacity of the engines of a service and the models that they can load. */
export interface EngineSpec {
  /** Maximum number of concurrent requests of an engine. */
  readonly slots: number;
  /** Size of the KV cache, shared by running requests and cached prefixes. */
  readonly cacheTokens: number;
  /** Memory for weights and adapters. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads per second that the weight store permits over all engines. */
  readonly storeLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, DeclaredModel>;
}

/** A group of interchangeable targets. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that a target accepts over all callers. */
  readonly maxConnections: number;
  /** Absent for a plain service. */
  readonly engine?: EngineSpec;
}

/** Limits on the size and timing of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Milliseconds;
  readonly idleTimeoutMs: Milliseconds;
}

/** A complete configuration. A box never applies a lower version than its current one. */
export interface RoutedConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly limits: CallerLimits;
  /** Absent if callers need no API keys. */
  readonly accounts?: readonly ClientAccount[];
}
