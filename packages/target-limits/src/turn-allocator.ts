/** Hands out turns at targets that have named limits: one after the other, at the rate that each target takes. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { TurnAsk, TurnGrant } from "./messages.js";

/** The turns of one target. */
interface Turns {
  /** Turns that may be taken now; below 0 where some were granted ahead. */
  level: number;
  /** Requests that were refused and will probably come again. */
  refused: number;
  filledAt: Milliseconds;
}

export interface TurnAllocator {
  /** @param part part of the target's limit that is handed out here */
  grant(ask: TurnAsk, part: number): TurnGrant;
  /** Begins again with no turn saved up: others have handed out turns meanwhile. */
  restart(): void;
  forget(target: string): void;
}

const millisecondsPerSecond = 1000;
/** Turns that are not taken are saved up for this long, one at least. */
const savedSeconds = 0.5;
/** A target that takes less is still tried this often: nobody else would learn that it takes more again. */
export const leastPerSecond = 0.1;
/** Refused requests are believed to come again for this long. */
const refusedSeconds = 10;

function fill(turns: Turns, perSecond: number, now: Milliseconds): void {
  const gained = ((now - turns.filledAt) * perSecond) / millisecondsPerSecond;
  const most = Math.max(1, perSecond * savedSeconds);
  turns.level = Math.min(most, turns.level + gained);
  turns.refused = Math.max(0, turns.refused - gained);
  turns.filledAt = now;
}

function refuse(turns: Turns, perSecond: number): TurnGrant {
  const missing = 1 - turns.level + turns.refused;
  turns.refused = Math.min(turns.refused + 1, Math.max(1, perSecond * refusedSeconds));
  return { granted: false, waitMs: Math.ceil((missing * millisecondsPerSecond) / perSecond) };
}

/** Creates an allocator that has handed out nothing. */
export function createTurnAllocator(clock: Clock): TurnAllocator {
  const known = new Map<string, Turns>();

  const turnsOf = (target: string): Turns => {
    const turns = known.get(target);
    if (turns) return turns;
    // Another box may have handed out turns until now.
    const created = { level: 0, refused: 0, filledAt: clock.now() };
    known.set(target, created);
    return created;
  };

  return {
    grant({ target, perSecond, withinMs }, part) {
      const rate = Math.max(leastPerSecond, perSecond) * part;
      const turns = turnsOf(target);
      fill(turns, rate, clock.now());
      const waitMs = Math.max(0, Math.ceil(((1 - turns.level) * millisecondsPerSecond) / rate));
      if (waitMs > withinMs) return refuse(turns, rate);
      turns.level -= 1;
      return { granted: true, waitMs };
    },
    restart() {
      for (const turns of known.values()) {
        turns.level = Math.min(0, turns.level);
        turns.filledAt = clock.now();
      }
    },
    forget: (target) => void known.delete(target),
  };
}
