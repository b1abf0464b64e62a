/** What one box knows of the limits that targets have named. */
import type { Clock } from "@linkfall/kernel";
import type { LimitNotice, Milliseconds } from "@linkfall/types";

/** One target that has named a limit; changed in place by the book that owns it. */
interface Entry {
  /** Absent once the target takes any number again. */
  perSecond?: number;
  /** When the newest answer that said so was read. */
  heardAt: Milliseconds;
}

/** What one answer of a target shows. */
export interface HeardAnswer {
  readonly target: string;
  readonly notice: LimitNotice;
  /** When the request was sent that it answers. */
  readonly sentAt: Milliseconds;
  /** Whether the target has made the answer as it should; failures may lack what it says of itself. */
  readonly served: boolean;
}

/** A change of a target's limit. */
export interface LimitChange {
  readonly target: string;
  /** Absent where the limit has ended. */
  readonly perSecond?: number;
}

export interface LimitBook {
  hear(answer: HeardAnswer): void;
  /** Requests a second that the target takes; undefined where it takes any number. */
  limitOf(target: string): number | undefined;
  /** Forgets a target whose life has ended. */
  forget(target: string): void;
  /** Calls the listener with each change. */
  onChange(listener: (change: LimitChange) => void): void;
}

/** Creates a book in which no target has a limit. */
export function createLimitBook(clock: Clock): LimitBook {
  const entries = new Map<string, Entry>();
  const listeners: ((change: LimitChange) => void)[] = [];

  const set = (target: string, perSecond: number | undefined) => {
    const before = entries.get(target);
    entries.set(target, { perSecond, heardAt: clock.now() });
    if (before?.perSecond === perSecond) return;
    for (const listener of listeners) listener({ target, perSecond });
  };

  return {
    hear({ target, notice, sentAt, served }) {
      if (notice.kind === "limited") return set(target, notice.perSecond);
      const known = entries.get(target);
      if (known?.perSecond === undefined || notice.kind === "unreadable") return;
      // The head of a long answer may be older than the limit.
      if (served && sentAt > known.heardAt) set(target, undefined);
    },
    limitOf: (target) => entries.get(target)?.perSecond,
    forget: (target) => void entries.delete(target),
    onChange: (listener) => void listeners.push(listener),
  };
}
