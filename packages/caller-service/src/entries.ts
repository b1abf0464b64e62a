/** `GET /v1/entries`: the boxes that a caller should use, their lifetime and a request ticket. */
import { settingsName } from "@linkfall/config";
import { type Kernel, randomName, serviceName } from "@linkfall/kernel";
import { membershipName } from "@linkfall/membership";
import type { TicketIssuer } from "@linkfall/once";
import type { CallerResponse } from "@linkfall/ports";
import { jsonResponse } from "@linkfall/refusals";
import { topNodes } from "@linkfall/rendezvous";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, MemberEntry } from "@linkfall/types";

/** Maximum number of addresses in a response. */
const maxEntries = 8;

export const ticketIssuerName = serviceName<TicketIssuer>("ticket-issuer");

export type EntriesHandler = (account: Account, query: URLSearchParams) => CallerResponse;

/** Creates the handler of this box. */
export function createEntriesHandler(kernel: Kernel): EntriesHandler {
  const random = kernel.find(randomName);
  const membership = kernel.find(membershipName);
  const store = kernel.find(stateStoreName);
  const ticketIssuer = kernel.find(ticketIssuerName);
  const settings = kernel.find(settingsName);

  /** Selects the boxes that serve the model's pool; the others would have to forward its requests. */
  const boxesForModel = (boxes: readonly MemberEntry[], model: string | null) => {
    const pool = model === null ? undefined : store.desired().models.get(model)?.pool;
    if (pool === undefined) return boxes;
    const names = boxes.map((entry) => entry.box);
    const servingPool = topNodes(pool, names, settings.lease.boxes_per_pool);
    return boxes.filter((entry) => servingPool.includes(entry.box));
  };

  /** Shuffles the boxes to spread callers, those in the caller's failure domain first. */
  const orderByDomain = (boxes: readonly MemberEntry[], domain: string | null) => {
    const shuffled = boxes
      .map((entry) => ({ entry, sortKey: random.nextFloat() }))
      .sort((a, b) => a.sortKey - b.sortKey)
      .map(({ entry }) => entry);
    const sameDomain = shuffled.filter((entry) => entry.domain === domain);
    const otherDomains = shuffled.filter((entry) => entry.domain !== domain);
    return [...sameDomain, ...otherDomains].slice(0, maxEntries);
  };

  return (account, query) => {
    const boxes = boxesForModel(membership.serving(), query.get("model"));
    const entries = orderByDomain(boxes, query.get("domain")).map((entry) => ({
      address: entry.callerAddress,
      box: entry.box,
      domain: entry.domain,
    }));
    // A box that is leaving must not become the owner of new requests.
    const ticket = membership.self().leaving ? undefined : ticketIssuer.issue(account.name);
    return jsonResponse({
      entries,
      lifetime_ms: settings.callers.entries_lifetime_ms,
      ticket: ticket && { id: ticket.id, expires_in_ms: ticket.expiresInMs },
    });
  };
}
