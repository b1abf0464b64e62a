/** Targets as listed by the platform and as reported by the targets themselves. */
import type { Milliseconds } from "./identifiers.js";
import type { AdvertisedLimit } from "./target-limits.js";

/** A model that is loaded on an engine. */
export interface LoadedModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Models that an engine reports as loaded. */
export interface EngineInventory {
  /** Start time of the reporting incarnation, in Unix milliseconds by the target's clock; absent if unknown. */
  readonly born?: Milliseconds;
  /** Number of orders that the engine has accepted since its start. */
  readonly sequence: number;
  readonly models: readonly LoadedModel[];
}

/** Whether two start times may belong to the same incarnation; an unknown one matches any. */
export function isSameIncarnation(
  left: Milliseconds | undefined,
  right: Milliseconds | undefined,
): boolean {
  return left === undefined || right === undefined || left === right;
}

/** A target as listed by the platform. */
export interface ListedTarget {
  readonly id: string;
  /**
   * Start time of the incarnation, in Unix milliseconds by the target's clock; absent if unknown. A
   * restarted target keeps its id.
   */
  readonly born?: Milliseconds;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly domain: string;
  /** Version of the target's software; absent if a box of an earlier version relayed the entry. */
  readonly softwareVersion?: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly leaving: boolean;
  /** Number that rises with each heartbeat of the target, as of the entry; absent if unknown. */
  readonly heartbeats?: number;
  /** Loaded models at the time of the listing; absent for targets of plain services. */
  readonly models?: readonly LoadedModel[];
}

/** State that an engine reports when it is polled. */
export interface EngineState extends EngineInventory {
  /** Whether an order is in progress. */
  readonly busy: boolean;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Number of running requests. */
  readonly running: number;
  readonly cacheTokensUsed: number;
  /** Models whose weights are cached in host memory. */
  readonly inMemory: ReadonlySet<string>;
  /** Models whose weights are cached on the target's disk. */
  readonly onDisk: ReadonlySet<string>;
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly adaptersComing: readonly string[];
  /** Request limit that the engine advertises. */
  readonly limit: AdvertisedLimit;
  /** Whether the engine says that it is leaving. */
  readonly leaving: boolean;
}

/** Loads or unloads the weights of a model or an adapter. */
export interface WeightOrder {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string;
}

/** A weight order with the preconditions under which the engine accepts it. */
export interface FencedOrder extends WeightOrder {
  /** Number of orders that the engine must have accepted before this one. */
  readonly expectedSequence: number;
  readonly holder: string;
  /** Fencing token of the lease holder. */
  readonly epoch: number;
}

/**
 * Result of an order to an engine that was reached. `gone`: another incarnation uses the address; `withheld`: no byte of the
 * order was written, as it was no longer permitted.
 */
export type OrderResult =
  "under_way" | "in_force" | "conflict" | "fenced" | "refused" | "gone" | "withheld";

/** A part of a prompt that several requests may have in common. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata of a request, read from its headers. */
export interface RequestMetadata {
  readonly id: string;
  /** Time that the caller waits for the response, counted from sending the request. */
  readonly deadlineMs?: Milliseconds;
  readonly model?: string;
  readonly adapter?: string;
  /** Whether the caller declared token counts; if not, both counts are 0. */
  readonly tokensDeclared: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Id of the last event that the caller received; the stream resumes after it. */
  readonly resumeAfter?: string;
  /** Id of the caller's attempt that brought the first event of the stream, if this attempt takes a stream up. */
  readonly resumes?: string;
}
