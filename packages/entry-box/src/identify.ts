/** Whose request it is, by the key that came with it. */
import { keyFingerprint, type KeyTable } from "@linkfall/account-keys";
import type { ClientAccount, Route } from "@linkfall/types";

export type CallerIdentity =
  /** The account is absent where the route needs no key and none came. */
  | { readonly kind: "known"; readonly account?: ClientAccount }
  | { readonly kind: "unknown"; readonly why: string; readonly fingerprint?: string };

/**
 * Identifies the caller of a request. A key that nobody holds is refused on every route: a caller that was
 * taken its key must not go on under another name.
 *
 * @param keys absent where callers need no keys
 */
export function identify(
  keys: KeyTable | undefined,
  route: Route,
  key: string | undefined,
): CallerIdentity {
  if (!keys) return { kind: "known" };
  if (key === undefined || key === "") {
    return route.anonymous ? { kind: "known" } : { kind: "unknown", why: "no key" };
  }
  const account = keys.find(key);
  if (account) return { kind: "known", account };
  return { kind: "unknown", why: "a key that no account holds", fingerprint: keyFingerprint(key) };
}
