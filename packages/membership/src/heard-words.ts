/** The last word of each box that is heard directly. */
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, MemberSummary, Milliseconds } from "@linkfall/types";

/** What a box last said about itself, and when. */
export interface HeardWord {
  readonly start: Incarnation;
  readonly summary: MemberSummary;
  readonly at: Milliseconds;
}

export interface HeardWords {
  note(start: Incarnation, summary: MemberSummary): void;
  forget(start: Incarnation): void;
  all(): readonly HeardWord[];
  /** Words that are recent enough to tell how things stand. */
  lately(): readonly HeardWord[];
}

/**
 * Creates the words of one box; none has been heard.
 *
 * @param lifeMs time after which a word no longer counts as recent
 */
export function createHeardWords(clock: Clock, lifeMs: Milliseconds): HeardWords {
  const words = new Map<Incarnation, HeardWord>();
  return {
    note: (start, summary) => void words.set(start, { start, summary, at: clock.now() }),
    forget: (start) => void words.delete(start),
    all: () => [...words.values()],
    lately: () => [...words.values()].filter((word) => clock.now() - word.at <= lifeMs),
  };
}
