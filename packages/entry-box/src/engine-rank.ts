/** Ranks requests for engines, which run the most urgent ones first. */
import type { ClientAccount, Route } from "@linkfall/types";

/**
 * Highest priority number of routes that is distinguished within one priority of accounts. Engines support ten ranks,
 * which leaves room for three priorities of accounts.
 */
const maxRoutePriority = 2;

/**
 * Rank of a request; 0 is the most urgent. The account's priority takes precedence over the route's, which orders the
 * requests of accounts of the same priority if `ranksRoutes` is set.
 */
export function rankAtEngine(
  route: Pick<Route, "priority">,
  account: Pick<ClientAccount, "priority"> | undefined,
  ranksRoutes: boolean,
): number {
  if (account?.priority === undefined) return route.priority;
  if (!ranksRoutes) return account.priority;
  return account.priority * (maxRoutePriority + 1) + Math.min(maxRoutePriority, route.priority);
}
