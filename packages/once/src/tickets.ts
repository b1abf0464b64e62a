/**
 * Tickets route non-repeatable requests to the box incarnation that issued them. The identifier of such a request starts
 * with its ticket, so that any box can forward a retry to the owner. Only the owner verifies the signature, so no secret
 * is shared between boxes.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import type { Clock } from "@linkfall/kernel";
import type { Incarnation, Milliseconds } from "@linkfall/types";

const signatureDigits = 24;
const idPattern =
  /^([A-Za-z0-9._-]+@[0-9a-f]+)\.(\d+)\.(\d+)\.([0-9a-f]+)\/([A-Za-z0-9._:-]{1,80})$/;

/** A parsed request identifier. */
export interface OnceId {
  readonly owner: Incarnation;
  readonly ticketNumber: number;
  /** Expiry of the ticket, by the owner's clock. */
  readonly expiresAt: Milliseconds;
  readonly signature: string;
  /** The part chosen by the caller. */
  readonly suffix: string;
}

export interface Ticket {
  readonly id: string;
  readonly expiresInMs: Milliseconds;
}

/** Parses an identifier of the form `<ticket>/<suffix>`; returns undefined if it is malformed. */
export function parseOnceId(text: string): OnceId | undefined {
  const parts = idPattern.exec(text);
  if (!parts) return undefined;
  const [, owner, number, expires, signature, suffix] = parts;
  return {
    owner,
    ticketNumber: Number(number),
    expiresAt: Number(expires),
    signature,
    suffix,
  };
}

export interface TicketIssuer {
  issue(account: string): Ticket;
  /** Whether this box issued the ticket to this account; does not check its expiry. */
  isValid(id: OnceId, account: string): boolean;
  /** Time until all issued tickets have expired. */
  maxRemainingMs(): Milliseconds;
}

/**
 * Creates the ticket issuer of one box incarnation.
 *
 * @param secret key of the signatures; must not be shared with other incarnations
 */
export function createTicketIssuer(
  clock: Clock,
  self: Incarnation,
  secret: string,
  lifetimeMs: Milliseconds,
): TicketIssuer {
  let issuedCount = 0;
  let lastExpiry = -Infinity;
  const sign = (number: number, expiresAt: Milliseconds, account: string) =>
    createHmac("sha256", secret)
      .update(`${self}.${number}.${expiresAt}.${account}`)
      .digest("hex")
      .slice(0, signatureDigits);
  return {
    issue(account) {
      issuedCount += 1;
      const expiresAt = Math.ceil(clock.now() + lifetimeMs);
      lastExpiry = expiresAt;
      const signature = sign(issuedCount, expiresAt, account);
      return {
        id: `${self}.${issuedCount}.${expiresAt}.${signature}`,
        expiresInMs: lifetimeMs,
      };
    },
    isValid(id, account) {
      const expected = Buffer.from(sign(id.ticketNumber, id.expiresAt, account));
      const actual = Buffer.from(id.signature);
      return actual.length === expected.length && timingSafeEqual(actual, expected);
    },
    maxRemainingMs: () => Math.max(0, lastExpiry - clock.now()),
  };
}
