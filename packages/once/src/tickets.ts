/**
 * Tickets name the box start that owns the requests sent under them. The request identifier of a not
 * repeatable request begins with its ticket, so a repeat always comes to the same owner, whichever
 * box it is sent to. Only the owner checks the seal: no secret is shared between boxes.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";

const sealDigits = 24;
const idPattern =
  /^([A-Za-z0-9._-]+@[0-9a-f]+)\.(\d+)\.(\d+)\.([0-9a-f]+)\/([A-Za-z0-9._:-]{1,80})$/;

/** A request identifier taken apart. */
export interface OnceId {
  readonly owner: Incarnation;
  readonly ticketNumber: number;
  /** End of the ticket on the owner's own clock. */
  readonly expiresAt: Milliseconds;
  readonly signature: string;
  /** The caller's own part. */
  readonly suffix: string;
}

/** A ticket as a caller gets it. */
export interface Ticket {
  readonly id: string;
  readonly expiresInMs: Milliseconds;
}

/** Takes an identifier apart; undefined when it has not the form `<ticket>/<own part>`. */
export function parseOnceId(text: string): OnceId | undefined {
  const parts = idPattern.exec(text);
  if (!parts) return undefined;
  const [, owner, number, expires, seal, suffix] = parts;
  return {
    owner,
    ticketNumber: Number(number),
    expiresAt: Number(expires),
    signature: seal,
    suffix,
  };
}

export interface TicketIssuer {
  issue(account: string): Ticket;
  /** Whether this box issued the ticket to this account. */
  isValid(id: OnceId, account: string): boolean;
  /** Time until the last ticket that was issued ends; 0 when all have. */
  maxRemainingMs(): Milliseconds;
}

/** Creates the office of one box start, with a secret of its own. */
export function createTicketIssuer(
  clock: Clock,
  self: Incarnation,
  secret: string,
  lifetime: Milliseconds,
): TicketIssuer {
  let issued = 0;
  let lastExpiry = -Infinity;
  const sealOf = (number: number, expiresAt: Milliseconds, account: string) =>
    createHmac("sha256", secret)
      .update(`${self}.${number}.${expiresAt}.${account}`)
      .digest("hex")
      .slice(0, sealDigits);
  return {
    issue(account) {
      issued += 1;
      const expiresAt = Math.ceil(clock.now() + lifetime);
      lastExpiry = expiresAt;
      const seal = sealOf(issued, expiresAt, account);
      return { id: `${self}.${issued}.${expiresAt}.${seal}`, expiresInMs: lifetime };
    },
    isValid(id, account) {
      const expected = Buffer.from(sealOf(id.ticketNumber, id.expiresAt, account));
      const given = Buffer.from(id.signature);
      return given.length === expected.length && timingSafeEqual(given, expected);
    },
    maxRemainingMs: () => Math.max(0, lastExpiry - clock.now()),
  };
}
