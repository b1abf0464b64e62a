/** Expected failures, returned as values and discriminated by `kind`. */
import type { Offset, Revision, ResourceName } from "@linkfall/types";

/** The log was unreachable or did not respond; an append may have taken effect. */
export interface LogUnavailable {
  readonly kind: "log_unavailable";
  readonly reason: string;
}

/** The requested offset is no longer retained; `first` is the oldest offset that is. */
export interface LogTruncated {
  readonly kind: "log_truncated";
  readonly first: Offset;
}

/** The log currently rejects appends because it is overloaded. */
export interface LogBusy {
  readonly kind: "log_busy";
}

export type LogFailure = LogUnavailable | LogTruncated | LogBusy;

/** A validation error of one input field. */
export interface FieldProblem {
  readonly field: string;
  readonly reason: string;
}

/** Input that failed validation; no part of it is applied. */
export interface InvalidInput {
  readonly kind: "invalid_input";
  readonly problems: readonly FieldProblem[];
}

/** Formats all problems of an input as one human-readable line. */
export function describeProblems({ problems }: InvalidInput): string {
  return problems.map(({ field, reason }) => `${field}: ${reason}`).join("; ");
}

/** A write was based on a revision that is no longer current. */
export interface RevisionConflict {
  readonly kind: "revision_conflict";
  readonly subject: ResourceName;
  readonly base: Revision;
  readonly current: Revision;
  /** Author of the current revision. */
  readonly who: string;
}

/** A peer could not be reached or did not reply. */
export interface PeerUnreachable {
  readonly kind: "peer_unreachable";
  readonly reason: string;
  /** Whether the peer may have processed the message. */
  readonly mayHaveArrived: boolean;
}

/** A target could not be reached, or its connection was lost. */
export interface TargetUnreachable {
  readonly kind: "target_unreachable";
  readonly reason: string;
  /** Whether any byte of the request may have reached the target. */
  readonly mayHaveArrived: boolean;
  /**
   * What failed if neither the target nor its connection did: the box that was to relay the request (`relay`), all ways to the
   * target (`no_path`), or nothing, as the relay knows that the target must get no request now (`declined`).
   */
  readonly cause?: "relay" | "no_path" | "declined";
  /** Whether the target refused connections when a relay probed it after the loss, thus has crashed; absent if no relay did. */
  readonly targetRefuses?: boolean;
}

/** The operating system did not allow this process to listen on an address. */
export interface AddressUnavailable {
  readonly kind: "address_unavailable";
  readonly address: string;
  readonly reason: string;
}
