/** Resources that operators declare; together they form the desired state. */
import type { Mebibytes, Revision } from "./identifiers.js";

/** Kinds of resource, in display order. */
export const resourceKinds = [
  "deployment",
  "account",
  "pool",
  "model",
  "adapter",
  "engine",
  "service",
] as const;
export type ResourceKind = (typeof resourceKinds)[number];

/** Deployment-wide settings: the weights of the placement objective and the limits of the weight store. */
export interface Deployment {
  readonly kind: "deployment";
  readonly name: string;
  /** Weight of meeting deadlines, relative to `movesWeight`. */
  readonly attainmentWeight: number;
  /** Weight of the cost of a move, relative to `attainmentWeight`. */
  readonly movesWeight: number;
  /** Loads per second that the weight store allows over all pools. */
  readonly weightStoreLoadsPerSecond: number;
  /** Concurrent loads that the weight store serves at full speed over all pools. */
  readonly weightStoreLoadsAtOnce: number;
}

/** A client account: its credentials and limits. */
export interface Account {
  readonly kind: "account";
  readonly name: string;
  /** SHA-256 of the bearer token, in hexadecimal. The token itself is never stored. */
  readonly tokenHash: string;
  /** Weight in fair queueing when targets are saturated. */
  readonly share: number;
  /** Limit on requests per second over all boxes. */
  readonly requestsPerSecond: number;
  /** Highest priority that requests of this account may use (0 lowest, 9 highest). */
  readonly maxPriority: number;
}

/** A group of engines whose placement is planned by one lease holder. */
export interface Pool {
  readonly kind: "pool";
  readonly name: string;
  /** Loads per second from the weight store that this pool may use. */
  readonly loadsPerSecond: number;
  /** Concurrent loads from the weight store that this pool may use. */
  readonly loadsAtOnce: number;
}

/** A model that is kept available. A change of `version` is rolled out without downtime. */
export interface Model {
  readonly kind: "model";
  readonly name: string;
  readonly pool: string;
  readonly version: string;
  readonly sizeMb: Mebibytes;
  /** Client accounts that may call it. */
  readonly accounts: readonly string[];
  /** Loading priority when not all models fit (0 lowest, 9 highest). */
  readonly priority: number;
  /** Minimum number of ready replicas. */
  readonly minReplicas: number;
}

/** An adapter, loaded next to its base model. */
export interface Adapter {
  readonly kind: "adapter";
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly sizeMb: Mebibytes;
  readonly accounts: readonly string[];
}

/** Roles of an engine: `mixed` serves interactive requests, `batch` reserves memory for long contexts. */
export const engineRoles = ["mixed", "batch"] as const;
export type EngineRole = (typeof engineRoles)[number];

/** A model engine: a target that carries out load and unload orders. */
export interface Engine {
  readonly kind: "engine";
  readonly name: string;
  readonly pool: string;
  /** `ip:port`. */
  readonly address: string;
  readonly domain: string;
  /** Memory for weights on each accelerator, in the `mixed` role. */
  readonly acceleratorsMb: readonly Mebibytes[];
  /** Memory on each accelerator that the `batch` role withholds from weights. */
  readonly batchReserveMb: Mebibytes;
  readonly role: EngineRole;
  /** Whether the engine itself rejects orders with an outdated epoch. */
  readonly fenced: boolean;
  /** Maximum number of requests in the continuous batch. */
  readonly concurrency: number;
  /** Set by an operator to drain the engine. */
  readonly leaving: boolean;
}

/** One target of a plain service. */
export interface ServiceTarget {
  readonly address: string;
  readonly domain: string;
}

/** A service that is not a model engine. */
export interface PlainService {
  readonly kind: "service";
  readonly name: string;
  readonly targets: readonly ServiceTarget[];
  readonly accounts: readonly string[];
  /** Path prefixes whose calls are never retried, even if the caller marks them as repeatable. */
  readonly notRepeatablePaths: readonly string[];
}

export type Resource = Deployment | Account | Pool | Model | Adapter | Engine | PlainService;

/** Identifies a resource. */
export interface ResourceName {
  readonly kind: ResourceKind;
  readonly name: string;
}

/** A resource with the revision of its last change. */
export interface StoredResource {
  readonly resource: Resource;
  readonly revision: Revision;
  /** Author of this revision. */
  readonly who: string;
}

/** Formats a resource name as `kind/name`, for use as a map key. */
export function resourceKey(name: ResourceName): string {
  return `${name.kind}/${name.name}`;
}
