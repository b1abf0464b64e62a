/** Hands out permits at targets that have named limits: one after the other, at the rate that each target takes. */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { PermitRequest, PermitGrant } from "./messages.js";

/** The permits of one target. */
interface Permits {
  /** Permits that may be taken now; below 0 where some were granted ahead. */
  level: number;
  /** Requests that were refused and will probably come again. */
  refused: number;
  filledAt: Milliseconds;
}

export interface PermitAllocator {
  /** @param part part of the target's limit that is handed out here */
  grant(ask: PermitRequest, part: number): PermitGrant;
  /** Begins again with no permit saved up: others have handed out permits meanwhile. */
  reset(): void;
  forget(target: string): void;
}

const millisecondsPerSecond = 1000;
/** Permits that are not taken are saved up for this long, one at least. */
const savedSeconds = 0.5;
/** A target that takes less is still tried this often: nobody else would learn that it takes more again. */
export const minPerSecond = 0.1;
/** Refused requests are believed to come again for this long. */
const refusedSeconds = 10;

function fill(permits: Permits, perSecond: number, now: Milliseconds): void {
  const gained = ((now - permits.filledAt) * perSecond) / millisecondsPerSecond;
  const most = Math.max(1, perSecond * savedSeconds);
  permits.level = Math.min(most, permits.level + gained);
  permits.refused = Math.max(0, permits.refused - gained);
  permits.filledAt = now;
}

function refuse(permits: Permits, perSecond: number): PermitGrant {
  const missing = 1 - permits.level + permits.refused;
  permits.refused = Math.min(permits.refused + 1, Math.max(1, perSecond * refusedSeconds));
  return { granted: false, waitMs: Math.ceil((missing * millisecondsPerSecond) / perSecond) };
}

/** Creates an allocator that has handed out nothing. */
export function createPermitAllocator(clock: Clock): PermitAllocator {
  const known = new Map<string, Permits>();

  const permitsOf = (target: string): Permits => {
    const permits = known.get(target);
    if (permits) return permits;
    // Another box may have handed out permits until now.
    const created = { level: 0, refused: 0, filledAt: clock.now() };
    known.set(target, created);
    return created;
  };

  return {
    grant({ target, perSecond, withinMs }, part) {
      const rate = Math.max(minPerSecond, perSecond) * part;
      const permits = permitsOf(target);
      fill(permits, rate, clock.now());
      const waitMs = Math.max(0, Math.ceil(((1 - permits.level) * millisecondsPerSecond) / rate));
      if (waitMs > withinMs) return refuse(permits, rate);
      permits.level -= 1;
      return { granted: true, waitMs };
    },
    reset() {
      for (const permits of known.values()) {
        permits.level = Math.min(0, permits.level);
        permits.filledAt = clock.now();
      }
    },
    forget: (target) => void known.delete(target),
  };
}
