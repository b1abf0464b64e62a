/** Names a request by its content, so that its return is known under whatever identifier it comes. */
import { createHash } from "node:crypto";

/** What a request has in common with its returns. Headers may differ from one to the next. */
export interface RequestContent {
  /** Name of the client account; absent where no key was needed. */
  readonly account?: string;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  readonly body: Uint8Array;
}

/** Hexadecimal digits of a fingerprint: two different requests share 64 bits by no accident. */
const fingerprintDigits = 16;

/**
 * The fingerprint of a request. Parts are told apart by their lengths, so that no account can compose the
 * fingerprint of another one's request.
 */
export function fingerprintOf({ account, method, host, path, body }: RequestContent): string {
  const hash = createHash("sha256");
  const head = [account ?? null, method, host.toLowerCase(), path];
  hash.update(`${JSON.stringify(head)}\n`);
  hash.update(body);
  return hash.digest("hex").slice(0, fingerprintDigits);
}
