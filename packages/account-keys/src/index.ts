/**
 * Finds the client account that holds a key. Keys are kept as digests: a lookup takes the same time for
 * every wrong key, and nothing that is logged or dumped can be used as a key.
 */
import { createHash } from "node:crypto";
import type { ClientAccount } from "@linkfall/types";

/** Hexadecimal digits of a digest that stand for a key in logs. */
const fingerprintDigits = 8;

export interface KeyTable {
  /** The account that holds the key; undefined for a key that nobody holds. */
  find(key: string): ClientAccount | undefined;
}

function digestOf(key: string): string {
  return createHash("sha256").update(key, "utf8").digest("hex");
}

/** A short name of a key for logs, from which the key cannot be told. */
export function keyFingerprint(key: string): string {
  return digestOf(key).slice(0, fingerprintDigits);
}

/** Builds the table of a configuration. A key that two accounts claim belongs to the first of them. */
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
