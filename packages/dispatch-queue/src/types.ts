/** Requests, decisions and reports of one dispatcher. */
import type { Milliseconds, PromptPart } from "@linkfall/types";

export interface DispatchCandidate {
  readonly target: string;
  readonly slots: number;
  readonly sameDomain: boolean;
  /** Prompt tokens that the target has to read, as the asking box estimates; absent for plain services. */
  readonly unreadTokens?: number;
}

/** Weights and prompt parts of a request to an engine. */
export interface DispatchPrompt {
  readonly weights: string;
  readonly parts: readonly PromptPart[];
  readonly tokens: number;
}

export interface DispatchRequest {
  readonly service: string;
  /** Route of the request. */
  readonly kind: string;
  readonly box: string;
  readonly account?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveMs: Milliseconds;
  /** Time until the response is late; negative if it is already. */
  readonly objectiveLeftMs: Milliseconds;
  readonly timeLeftMs: Milliseconds;
  readonly candidates: readonly DispatchCandidate[];
  /** Present for requests to engines, which are not queued; absent for plain services. */
  readonly prompt?: DispatchPrompt;
  /** Whether the response is a stream, whose objective is the time to its first event. */
  readonly stream?: boolean;
}

export interface DispatchGranted {
  readonly kind: "granted";
  readonly target: string;
  readonly place: string;
  readonly expectedMs: Milliseconds;
}

export interface DispatchRejected {
  readonly kind: "rejected";
  readonly reason: RejectionReason;
  readonly retryAfterMs: Milliseconds;
}

export type DispatchDecision = DispatchGranted | DispatchRejected;

/**
 * `full`: on arrival, the request could not end within its bound. `displaced`: more urgent requests or those of other
 * accounts came first. `late`: its time is over, or no target responds within it. `no_target`: there are no candidates.
 */
export type RejectionReason = "full" | "displaced" | "late" | "no_target";

export interface DispatchEnd {
  readonly place: string;
  /** `rejected`: the target had no room; `lost`: the exchange failed; `unused`: nothing was sent. */
  readonly result: "served" | "rejected" | "lost" | "unused";
  /** Time until the first bytes of the body; absent if there were none. */
  readonly firstMs?: Milliseconds;
  readonly ms: Milliseconds;
  readonly events?: number;
}

/** Load of a target that others have granted. */
export interface AdoptedLoad {
  readonly inFlight: number;
  readonly promptTokens: number;
}

export interface AccountSummary {
  readonly account: string;
  readonly waiting: number;
  readonly inFlight: number;
  readonly granted: number;
  readonly rejected: number;
}

export interface TargetSummary {
  readonly target: string;
  readonly inFlight: number;
  /** Requests that may be in flight at once, including those that cover the round trip. */
  readonly limit: number;
}

export interface DispatchSummary {
  readonly waiting: number;
  readonly inFlight: number;
  readonly granted: number;
  /** Grants that expired without a reported end. */
  readonly expired: number;
  readonly rejected: Readonly<Record<RejectionReason, number>>;
  /** At most 64, those with the most grants and rejections. */
  readonly accounts: readonly AccountSummary[];
  readonly targets: readonly TargetSummary[];
}

export interface DispatchRules {
  /** Weights of client accounts in fair sharing; 1 for accounts that are not listed. */
  readonly accountWeights: ReadonlyMap<string, number>;
  /** Prompt tokens that are remembered for each engine; default 60,000, about 100 KB for each. */
  readonly prefixTokens?: number;
}

export interface DispatchQueue {
  /** Calls `decide` once, at once or later; returns a function that withdraws the request. */
  submit(request: DispatchRequest, decide: (decision: DispatchDecision) => void): () => void;
  /** The first bytes of a stream arrived: its prompt has been read. */
  firstBytes(place: string, firstMs: Milliseconds): void;
  end(end: DispatchEnd): void;
  /** Loads granted by others before this dispatcher began (from heartbeats), which fade within two seconds. */
  adopt(loads: ReadonlyMap<string, AdoptedLoad>): void;
  /** Frees all places of a box that is gone. */
  dropBox(box: string): void;
  summary(): DispatchSummary;
}
