/** The resources that operators declare. Together they are the desired state. */
import type { Mebibytes, Revision } from "./identifiers.js";

/** Kinds of resource, in the order in which they are shown. */
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

/** Settings of the whole deployment: how the two measures weigh against each other. */
export interface Deployment {
  readonly kind: "deployment";
  readonly name: string;
  /** Worth of meeting deadlines, relative to `movesWeight`. */
  readonly attainmentWeight: number;
  /** Cost of one move, relative to `attainmentWeight`. */
  readonly movesWeight: number;
  /** Loads a second that the weight store allows, shared by all pools. */
  readonly weightStoreLoadsPerSecond: number;
  /** Loads at once at full speed that the weight store allows, shared by all pools. */
  readonly weightStoreLoadsAtOnce: number;
}

/** A client account: who may call, and its share of the system. */
export interface Account {
  readonly kind: "account";
  readonly name: string;
  /** SHA-256 of the bearer token, in hexadecimal. The token itself is never stored. */
  readonly tokenHash: string;
  /** Weight in fair sharing when targets are saturated. */
  readonly share: number;
  /** Requests a second over all boxes. */
  readonly requestsPerSecond: number;
  /** Highest priority that a request of this account may ask for (0 lowest, 9 highest). */
  readonly maxPriority: number;
}

/** A control group: engines that one lease holder plans together. */
export interface Pool {
  readonly kind: "pool";
  readonly name: string;
  /** This pool's part of the weight store's loads a second. */
  readonly loadsPerSecond: number;
  /** This pool's part of the weight store's loads at once. */
  readonly loadsAtOnce: number;
}

/** A model that must stay reachable. A change of `version` is rolled without a gap. */
export interface Model {
  readonly kind: "model";
  readonly name: string;
  readonly pool: string;
  readonly version: string;
  readonly sizeMb: Mebibytes;
  /** Client accounts that may call it. */
  readonly accounts: readonly string[];
  /** Which models come first when not all can be loaded at once (0 lowest, 9 highest). */
  readonly priority: number;
  /** Ready replicas to keep at the least. */
  readonly minReplicas: number;
}

/** An adapter, resident beside its base model. */
export interface Adapter {
  readonly kind: "adapter";
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly sizeMb: Mebibytes;
  readonly accounts: readonly string[];
}

/** Roles of an engine: `mixed` serves at once, `batch` keeps more memory for long contexts. */
export const engineRoles = ["mixed", "batch"] as const;
export type EngineRole = (typeof engineRoles)[number];

/** A model engine. It is a target that takes orders. */
export interface Engine {
  readonly kind: "engine";
  readonly name: string;
  readonly pool: string;
  /** `host:port` by IP number. */
  readonly address: string;
  readonly domain: string;
  /** Weight memory of each accelerator, in the `mixed` role. */
  readonly acceleratorsMb: readonly Mebibytes[];
  /** Weight memory that the `batch` role takes away on each accelerator. */
  readonly batchReserveMb: Mebibytes;
  readonly role: EngineRole;
  /** Whether the engine refuses orders of a lapsed epoch by itself. */
  readonly fenced: boolean;
  /** Requests that it runs at once in one continuous batch. */
  readonly concurrency: number;
  /** Set by an operator to take it out of service. */
  readonly leaving: boolean;
}

/** One address of a plain service. */
export interface ServiceTarget {
  readonly address: string;
  readonly domain: string;
}

/** A plain service beside the model engines. */
export interface PlainService {
  readonly kind: "service";
  readonly name: string;
  readonly targets: readonly ServiceTarget[];
  readonly accounts: readonly string[];
  /** Calls under these path prefixes may not be repeated, whatever the caller says. */
  readonly notRepeatablePaths: readonly string[];
}

export type Resource = Deployment | Account | Pool | Model | Adapter | Engine | PlainService;

/** Names one resource. */
export interface ResourceName {
  readonly kind: ResourceKind;
  readonly name: string;
}

/** A resource with the revision at which it was last changed. */
export interface StoredResource {
  readonly resource: Resource;
  readonly revision: Revision;
  /** Who wrote this revision. */
  readonly who: string;
}

/** The one string form of a resource's name, used as a map key. */
export function resourceKey(name: ResourceName): string {
  return `${name.kind}/${name.name}`;
}
