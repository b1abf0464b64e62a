/** Targets as the platform lists them and as they report of themselves. */
import type { Milliseconds } from "./identifiers.js";
import type { AdvertisedLimit } from "./target-limits.js";

/** A model that an engine holds. */
export interface LoadedModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** What an engine says that it holds. */
export interface EngineInventory {
  /** Start of the life that says so, in Unix milliseconds by the target's clock; absent where the platform does not tell. */
  readonly born?: Milliseconds;
  /** Orders that the engine has taken since its start. */
  readonly sequence: number;
  readonly models: readonly LoadedModel[];
}

/** A target, as the platform lists it. */
export interface ListedTarget {
  readonly id: string;
  /** Start of its life, in Unix milliseconds by its own clock: it may start again under its id. Absent where not told. */
  readonly born?: Milliseconds;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly domain: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Models that it holds, as old as the list; absent for a target of a plain service. */
  readonly models?: readonly LoadedModel[];
}

/** What an engine answers when it is asked for its state. */
export interface EngineState extends EngineInventory {
  /** An order is being carried out. */
  readonly busy: boolean;
  readonly waiting: number;
  readonly running: number;
  readonly cacheTokensUsed: number;
  /** Models whose weights lie in host memory. */
  readonly inMemory: ReadonlySet<string>;
  /** Models whose weights lie on the target's disk. */
  readonly onDisk: ReadonlySet<string>;
  /** Adapters on their way, as `model/adapter`. */
  readonly adaptersComing: readonly string[];
  /** What the answer says of the requests that the engine takes; one without a limit may be silent of it. */
  readonly limit: AdvertisedLimit;
}

/** Brings weights into an engine, or drops them. */
export interface WeightOrder {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string;
}

/** An order as it is sent. */
export interface FencedOrder extends WeightOrder {
  /** The engine takes the order only after this many others. */
  readonly expectedSequence: number;
  readonly holder: string;
  /** Fencing token of the holder. */
  readonly epoch: number;
}

/**
 * What an engine says to an order. `unanswered`: it may still be carried out; `gone`: another start
 * has the address.
 */
export type OrderResult =
  "under_way" | "in_force" | "conflict" | "fenced" | "refused" | "gone" | "unanswered";

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of itself beside its method, path and body. */
export interface RequestMetadata {
  readonly id: string;
  /** Time that the caller will wait, from its sending. */
  readonly deadlineMs?: Milliseconds;
  readonly model?: string;
  readonly adapter?: string;
  /** Whether the caller told its tokens; where not, both counts are 0. */
  readonly tokensDeclared: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Position after which a stream is to go on. */
  readonly resumeAfter?: string;
}
