/** Failures that are expected and returned as values. Each has a `kind` to match on. */
import type { Offset, Revision, ResourceName } from "@linkfall/types";

/** The log could not be reached or did not answer; an append may have taken effect. */
export interface LogUnavailable {
  readonly kind: "log_unavailable";
  readonly reason: string;
}

/** Records from the asked offset on are no longer kept; `first` is the oldest that is. */
export interface LogTruncated {
  readonly kind: "log_truncated";
  readonly first: Offset;
}

/** The log takes no more appends for now. */
export interface LogBusy {
  readonly kind: "log_busy";
}

export type LogFailure = LogUnavailable | LogTruncated | LogBusy;

/** One field of an input that is wrong. */
export interface FieldProblem {
  readonly field: string;
  readonly reason: string;
}

/** Input that is refused as a whole; nothing of it is applied. */
export interface InvalidInput {
  readonly kind: "invalid_input";
  readonly problems: readonly FieldProblem[];
}

/** All problems of an input in one line, for people. */
export function describeProblems({ problems }: InvalidInput): string {
  return problems.map(({ field, reason }) => `${field}: ${reason}`).join("; ");
}

/** A write was based on a revision that is no longer current. */
export interface RevisionConflict {
  readonly kind: "revision_conflict";
  readonly subject: ResourceName;
  readonly base: Revision;
  readonly current: Revision;
  /** Who wrote the current revision. */
  readonly who: string;
}

/** A peer could not be asked. */
export interface PeerUnreachable {
  readonly kind: "peer_unreachable";
  readonly reason: string;
  /** Whether the peer can have begun to act on the message. */
  readonly mayHaveArrived: boolean;
}

/** A target could not be reached, or went away. */
export interface TargetUnreachable {
  readonly kind: "target_unreachable";
  readonly reason: string;
  /** Whether a byte of the request can have reached the target. */
  readonly mayHaveArrived: boolean;
}

/** The system did not let this process listen on an address. */
export interface AddressUnavailable {
  readonly kind: "address_unavailable";
  readonly address: string;
  readonly reason: string;
}
