/** The last word of each box that is heard directly. */
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, MemberSummary, Milliseconds } from "@linkfall/types";

/** What a box last said about itself, and when. */
export interface PeerSummary {
  readonly incarnation: Incarnation;
  readonly summary: MemberSummary;
  readonly receivedAt: Milliseconds;
}

export interface PeerSummaries {
  record(start: Incarnation, summary: MemberSummary): void;
  forget(start: Incarnation): void;
  all(): readonly PeerSummary[];
  /** Words that are recent enough to tell how things stand. */
  recent(): readonly PeerSummary[];
}

/**
 * Creates the words of one box; none has been heard.
 *
 * @param lifeMs time after which a word no longer counts as recent
 */
export function createPeerSummaries(clock: Clock, lifeMs: Milliseconds): PeerSummaries {
  const words = new Map<Incarnation, PeerSummary>();
  return {
    record: (start, summary) =>
      void words.set(start, { incarnation: start, summary, receivedAt: clock.now() }),
    forget: (start) => void words.delete(start),
    all: () => [...words.values()],
    recent: () => [...words.values()].filter((word) => clock.now() - word.receivedAt <= lifeMs),
  };
}
