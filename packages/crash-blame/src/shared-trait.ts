/** What a request may share with others, and the fingerprints by which boxes know it. */
import { createHash } from "node:crypto";
import type { Fingerprint, SharedKind } from "@linkfall/types";

/** Something that requests of a service may have in common. */
export interface SharedTrait {
  readonly kind: SharedKind;
  /** As callers write it, at most {@link maxTextLength} characters. */
  readonly text: string;
}

const maxTextLength = 64;
const fingerprintDigits = 16;

const hashOf = (text: string): string =>
  createHash("sha256").update(text).digest("hex").slice(0, fingerprintDigits);

/** Creates a trait; a longer text is replaced by its hash. */
export function sharedTrait(kind: SharedKind, text: string): SharedTrait {
  return { kind, text: text.length > maxTextLength ? hashOf(text) : text };
}

/**
 * Fingerprint of a trait. It doesn't depend on the client account: whatever crashes a target does so for all. It is encoded
 * unlike the content of a request, so that neither can be taken for the other.
 */
export function traitFingerprint(service: string, { kind, text }: SharedTrait): Fingerprint {
  return hashOf(JSON.stringify([kind, service, text]));
}
