/** Authenticates callers by API key. */
import { keyFingerprint, type KeyTable } from "@linkfall/account-keys";
import type { ClientAccount, Route } from "@linkfall/types";

/** Result of the authentication of a request. */
export type CallerIdentity =
  /** The account is absent if the route allows anonymous requests and no key was sent. */
  | { readonly kind: "known"; readonly account?: ClientAccount }
  | { readonly kind: "unknown"; readonly why: string; readonly fingerprint?: string };

/**
 * Identifies the caller of a request. An unknown key is rejected on every route, so that a caller whose key was
 * revoked cannot continue anonymously.
 *
 * @param keys absent if no accounts are configured
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
  return {
    kind: "unknown",
    why: "the key belongs to no account",
    fingerprint: keyFingerprint(key),
  };
}
