/** Keys of streams: short, of constant size, and different for each client account and service. */
import { createHash } from "node:crypto";
import type { StreamKey } from "./messages.js";

/** Identifies a stream over all attempts of its caller. */
export interface StreamIdentity {
  readonly service: string;
  /** Client account; absent for anonymous callers. */
  readonly account?: string;
  /** Id of the attempt that brought the first event. */
  readonly firstAttempt: string;
}

/** Characters of a key; 72 bits make accidental collisions negligible. */
const keyLength = 12;

/** Returns the key of the stream. */
export function streamKey({ service, account, firstAttempt }: StreamIdentity): StreamKey {
  const text = JSON.stringify([service, account ?? null, firstAttempt]);
  return createHash("sha256").update(text).digest("base64url").slice(0, keyLength);
}
