/** The latest summary received directly from each box. */
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, MemberSummary, Milliseconds } from "@linkfall/types";

/** Latest summary sent by a box, and the time of its receipt. */
export interface PeerSummary {
  readonly incarnation: Incarnation;
  readonly summary: MemberSummary;
  readonly receivedAt: Milliseconds;
}

export interface PeerSummaries {
  record(incarnation: Incarnation, summary: MemberSummary): void;
  forget(incarnation: Incarnation): void;
  all(): readonly PeerSummary[];
  /** Summaries that are not older than the maximum age. */
  recent(): readonly PeerSummary[];
}

/**
 * Creates an empty collection.
 *
 * @param maxAgeMs age up to which a summary counts as recent
 */
export function createPeerSummaries(clock: Clock, maxAgeMs: Milliseconds): PeerSummaries {
  const summaries = new Map<Incarnation, PeerSummary>();
  return {
    record: (incarnation, summary) =>
      void summaries.set(incarnation, { incarnation, summary, receivedAt: clock.now() }),
    forget: (incarnation) => void summaries.delete(incarnation),
    all: () => [...summaries.values()],
    recent: () =>
      [...summaries.values()].filter((entry) => clock.now() - entry.receivedAt <= maxAgeMs),
  };
}
