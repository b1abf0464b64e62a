/** One completion as the box works on it. */
import type { Adapter, Milliseconds, Model, Refusal } from "@linkfall/types";

export interface CompletionJob {
  readonly id: string;
  readonly account: string;
  /** Names the request by its content. */
  readonly fingerprint: string;
  readonly model: Model;
  readonly adapter?: Adapter;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** On the clock of this box. */
  readonly deadlineAt: Milliseconds;
  /** Whether it may be started again after it may have run. */
  readonly repeatable: boolean;
  /** Aborted when nobody wants the answer any more. */
  readonly callerGone: AbortSignal;
}

/** One generated token, with its place in the answer. */
export interface CompletionToken {
  readonly position: number;
  readonly text: string;
  /** Set on the last token. */
  readonly finishReason?: string;
}

/** How a completion ended, after all of its tokens. */
export type CompletionResult =
  { readonly kind: "answered" } | { readonly kind: "refused"; readonly refusal: Refusal };
