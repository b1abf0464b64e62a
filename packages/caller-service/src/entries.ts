/** Answers which boxes a caller should use, for how long, and under which ticket. */
import { settingsName } from "@linkfall/config";
import { type Kernel, randomName, serviceName } from "@linkfall/kernel";
import { membershipName } from "@linkfall/membership";
import type { TicketIssuer } from "@linkfall/once";
import type { CallerResponse } from "@linkfall/ports";
import { jsonResponse } from "@linkfall/refusals";
import { topNodes } from "@linkfall/rendezvous";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, MemberEntry } from "@linkfall/types";

/** Most addresses in one answer. */
const mostEntries = 8;

export const ticketIssuerName = serviceName<TicketIssuer>("ticket-office");

export type EntriesHandler = (account: Account, query: URLSearchParams) => CallerResponse;

/** Creates the answering of one box. */
export function createEntriesHandler(kernel: Kernel): EntriesHandler {
  const random = kernel.find(randomName);
  const membership = kernel.find(membershipName);
  const store = kernel.find(stateStoreName);
  const office = kernel.find(ticketIssuerName);
  const settings = kernel.find(settingsName);

  /** Boxes that serve the model's pool, where one is named; all others would pass the request on. */
  const fitting = (boxes: readonly MemberEntry[], model: string | null) => {
    const pool = model === null ? undefined : store.desired().models.get(model)?.pool;
    if (pool === undefined) return boxes;
    const names = boxes.map((entry) => entry.box);
    const top = topNodes(pool, names, settings.lease.boxes_per_pool);
    return boxes.filter((entry) => top.includes(entry.box));
  };

  /** In random order, so that callers spread; those of the caller's domain first. */
  const ordered = (boxes: readonly MemberEntry[], domain: string | null) => {
    const shuffled = boxes
      .map((entry) => ({ entry, place: random.nextFloat() }))
      .sort((a, b) => a.place - b.place)
      .map(({ entry }) => entry);
    const near = shuffled.filter((entry) => entry.domain === domain);
    const far = shuffled.filter((entry) => entry.domain !== domain);
    return [...near, ...far].slice(0, mostEntries);
  };

  return (account, query) => {
    const boxes = fitting(membership.serving(), query.get("model"));
    const entries = ordered(boxes, query.get("domain")).map((entry) => ({
      address: entry.callerAddress,
      box: entry.box,
      domain: entry.domain,
    }));
    // A leaving box must not become the owner of new requests.
    const ticket = membership.self().leaving ? undefined : office.issue(account.name);
    return jsonResponse({
      entries,
      lifetime_ms: settings.callers.entries_lifetime_ms,
      ticket: ticket && { id: ticket.id, expires_in_ms: ticket.expiresInMs },
    });
  };
}
