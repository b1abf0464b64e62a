/**
 * Looks up client accounts by API key. Keys are stored as digests, so that a lookup takes the same time for every
 * unknown key, and logs or memory dumps contain no usable keys.
 */
import { createHash } from "node:crypto";
import type { ClientAccount } from "@linkfall/types";

/** Length of the digest prefix that identifies a key in logs. */
const fingerprintDigits = 8;

export interface KeyTable {
  /** Returns the account that owns the key; undefined for an unknown key. */
  find(key: string): ClientAccount | undefined;
}

function digestOf(key: string): string {
  return createHash("sha256").update(key, "utf8").digest("hex");
}

/** Returns a short identifier of a key for logs that does not reveal the key. */
export function keyFingerprint(key: string): string {
  return digestOf(key).slice(0, fingerprintDigits);
}

/** Creates the lookup table of a configuration. A key listed by several accounts belongs to the first one. */
export function createKeyTable(accounts: readonly ClientAccount[]): KeyTable {
  const byDigest = new Map<string, ClientAccount>();
  for (const account of accounts) {
    for (const key of account.keys) {
      const digest = digestOf(key);
      if (!byDigest.has(digest)) byDigest.set(digest, account);
    }
  }
  return { find: (key) => byDigest.get(digestOf(key)) };
}
