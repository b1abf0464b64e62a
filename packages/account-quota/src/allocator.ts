/**
 * Hands out the limits of client accounts. One box allocates for each account, so that the sum over all
 * boxes is exact while its allocator is reached: whatever a box lets through has been taken from one bucket.
 *
 * Load that it answers: one account at several times its usual through many boxes at once. Boxes that count
 * for themselves and tell each other now and then let all of that through until the news has gone round.
 */
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { QuotaRequest, QuotaGrant, QuotaRate } from "./messages.js";

/** What one account may still have. */
interface Allowance {
  rate: QuotaRate;
  /** Version of the configuration that `rate` is of. */
  version: number;
  /** Units at hand; below 0 after a request that was larger than what was left. */
  level: number;
  /** Units of requests that were refused and will probably come again. */
  backlog: number;
  filledAt: Milliseconds;
}

export interface QuotaAllocator {
  grant(ask: QuotaRequest): QuotaGrant;
  /** Begins again with first levels: others have let requests through meanwhile, by parts of their own. */
  reset(): void;
}

const millisecondsPerSecond = 1000;
/** Nothing is granted ahead from the last part of the burst: it is left for requests that wait. */
const keptForRequests = 0.25;
/** An account that nobody asked for in this time may have had another allocator meanwhile. */
const restMs: Milliseconds = 2_000;
/** Refused requests are believed to come again for this long. */
const backlogSeconds = 4;

function fill(allowance: Allowance, now: Milliseconds): void {
  const { perSecond, burst } = allowance.rate;
  const gained = ((now - allowance.filledAt) * perSecond) / millisecondsPerSecond;
  allowance.level = Math.min(burst, allowance.level + gained);
  allowance.backlog = Math.max(0, allowance.backlog - gained);
  allowance.filledAt = now;
}

/** Takes a limit that is not older; what was saved up stays, up to the new burst. */
function follow(allowance: Allowance, { rate, version }: QuotaRequest): void {
  if (version < allowance.version) return;
  allowance.rate = rate;
  allowance.version = version;
  allowance.level = Math.min(allowance.level, rate.burst);
}

function refuse(allowance: Allowance, needed: number): QuotaGrant {
  const { perSecond } = allowance.rate;
  const missing = allowance.backlog - allowance.level;
  allowance.backlog = Math.min(allowance.backlog + needed, perSecond * backlogSeconds);
  return { granted: 0, waitMs: 1 + Math.ceil((missing * millisecondsPerSecond) / perSecond) };
}

/**
 * Creates an allocator that knows no account yet.
 *
 * @param firstLevel units that an account has at first, and after a rest. An allocator cannot know what
 *   another one has granted meanwhile, so this has to stay within what may be let through beyond the limit.
 */
export function createQuotaAllocator(
  clock: Clock,
  firstLevel: (rate: QuotaRate) => number,
): QuotaAllocator {
  const allowances = new Map<string, Allowance>();

  const allowanceFor = ({ account, rate, version }: QuotaRequest): Allowance => {
    const known = allowances.get(account);
    if (known) return known;
    const level = Math.min(rate.burst, firstLevel(rate));
    const created = { rate, version, level, backlog: 0, filledAt: clock.now() };
    allowances.set(account, created);
    return created;
  };

  return {
    grant(ask) {
      const allowance = allowanceFor(ask);
      const rested = clock.now() - allowance.filledAt > restMs;
      fill(allowance, clock.now());
      follow(allowance, ask);
      if (rested) allowance.level = Math.min(allowance.level, firstLevel(allowance.rate));
      const { burst } = allowance.rate;
      // While anything is left a request may go, and owes what is missing: large ones are not starved by
      // small ones, and none is larger than it may ever be.
      if (ask.needed > 0 && allowance.level <= 0) return refuse(allowance, ask.needed);
      allowance.level -= ask.needed;
      const spare = Math.max(0, allowance.level - burst * keptForRequests);
      const ahead = Math.min(ask.ahead, spare);
      allowance.level -= ahead;
      return { granted: ask.needed + ahead, waitMs: 0 };
    },
    reset() {
      for (const allowance of allowances.values()) {
        fill(allowance, clock.now());
        allowance.level = Math.min(allowance.level, firstLevel(allowance.rate));
      }
    },
  };
}
