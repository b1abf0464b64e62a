/** A completion request and its result. */
import type { Adapter, Milliseconds, Model, Refusal } from "@linkfall/types";

export interface CompletionJob {
  readonly id: string;
  readonly account: string;
  /** Hash of the request's content. */
  readonly fingerprint: string;
  readonly model: Model;
  readonly adapter?: Adapter;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** Clock reading of this box by which the completion has to end. */
  readonly deadlineAt: Milliseconds;
  /** Whether the request may be run again after it may have run. */
  readonly repeatable: boolean;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/** One generated token with its position in the output. */
export interface CompletionToken {
  readonly position: number;
  readonly text: string;
  /** Set on the last token only. */
  readonly finishReason?: string;
}

/** Result of a completion, after all of its tokens. */
export type CompletionResult =
  { readonly kind: "answered" } | { readonly kind: "refused"; readonly refusal: Refusal };
