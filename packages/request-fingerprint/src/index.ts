/** Computes fingerprints of requests from their content, so that retries are recognized under any request identifier. */
import { createHash } from "node:crypto";

/** The content that a request shares with its retries. Headers are excluded, since they may differ between retries. */
export interface RequestContent {
  /** Name of the client account; undefined for a request without a key. */
  readonly account?: string;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  readonly body: Uint8Array;
}

/** Hexadecimal digits of a fingerprint; 64 bits make accidental collisions negligible. */
const fingerprintDigits = 16;

/**
 * Returns the fingerprint of a request as hexadecimal digits. The fields before the body are encoded unambiguously, so
 * that no account can construct a request with the fingerprint of another account's request.
 */
export function fingerprintOf({ account, method, host, path, body }: RequestContent): string {
  const hash = createHash("sha256");
  const head = [account ?? null, method, host.toLowerCase(), path];
  hash.update(`${JSON.stringify(head)}\n`);
  hash.update(body);
  return hash.digest("hex").slice(0, fingerprintDigits);
}
