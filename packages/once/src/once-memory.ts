/** Deduplicates non-repeatable requests at the box that owns them, and replays their responses. */
import { invariant } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { CallerResponse } from "@linkfall/ports";
import { notRun, outcomeOf, outcomeUnknown, refusalResponse } from "@linkfall/refusals";
import type { Milliseconds } from "@linkfall/types";
import { type SharedResponse, shareResponse } from "./shared-response.js";
import type { OnceId, TicketIssuer } from "./tickets.js";

export interface OnceLimits {
  /** Time for which a request is remembered after its ticket has expired. */
  readonly retentionMs: Milliseconds;
  /** Maximum number of remembered requests. */
  readonly maxEntries: number;
  /** Maximum size of the stored responses. */
  readonly maxAnswerBytes: number;
}

interface OnceEntry {
  readonly expiresAt: Milliseconds;
  /** Removed when the stored response is evicted; the entry itself remains. */
  response?: Promise<SharedResponse>;
  /** The finished response, while it counts towards the stored bytes. */
  stored?: SharedResponse;
}

export interface OnceMemory {
  /**
   * Calls `execute` for the first request with this identifier, and replays its response to all others. A request whose
   * outcome is "not_run" is forgotten and may be retried.
   */
  run(id: OnceId, account: string, execute: () => Promise<CallerResponse>): Promise<CallerResponse>;
  /** Number of remembered requests. */
  size(): number;
}

export function createOnceMemory(
  clock: Clock,
  tickets: TicketIssuer,
  limits: OnceLimits,
): OnceMemory {
  const entries = new Map<string, OnceEntry>();
  /** Entries with a stored response, oldest first. */
  const storedEntries = new Set<OnceEntry>();
  let storedBytes = 0;

  const keyOf = (id: OnceId) => `${id.ticketNumber}.${id.expiresAt}/${id.suffix}`;

  /** Stops at the first unexpired entry. Entries are only roughly ordered by expiry, so some are removed later. */
  const removeExpired = () => {
    const now = clock.now();
    for (const [key, entry] of entries) {
      if (entry.expiresAt > now) return;
      entries.delete(key);
      discardStored(entry);
    }
  };

  const discardStored = (entry: OnceEntry) => {
    if (!storedEntries.delete(entry)) return;
    storedBytes -= entry.stored?.sizeBytes() ?? 0;
    entry.stored = undefined;
  };

  /** Evicts the oldest responses; their requests remain remembered. */
  const evictResponses = () => {
    for (const entry of storedEntries) {
      if (storedBytes <= limits.maxAnswerBytes) return;
      discardStored(entry);
      entry.response = undefined;
    }
  };

  const storeWhenFinished = async (key: string, entry: OnceEntry) => {
    const response = await entry.response;
    await response?.finished;
    if (!response || entries.get(key) !== entry) return;
    entry.stored = response;
    storedEntries.add(entry);
    storedBytes += response.sizeBytes();
    evictResponses();
  };

  const runFirst = async (
    key: string,
    id: OnceId,
    execute: () => Promise<CallerResponse>,
  ): Promise<CallerResponse> => {
    const response = execute().then(shareResponse);
    const entry: OnceEntry = {
      expiresAt: id.expiresAt + limits.retentionMs,
      response,
    };
    invariant(!entries.has(key), "runs-at-most-once", () => key);
    entries.set(key, entry);
    const first = (await response).createReader();
    if (outcomeOf(first) === "not_run") entries.delete(key);
    else void storeWhenFinished(key, entry);
    return first;
  };

  const replay = async (entry: OnceEntry): Promise<CallerResponse> => {
    if (!entry.response) {
      return refusalResponse(
        outcomeUnknown("answer_not_kept", "the request ran, but its response is no longer stored"),
      );
    }
    const shared = await entry.response;
    const response = shared.createReader();
    return { ...response, headers: { ...response.headers, "linkfall-repeated": "true" } };
  };

  return {
    async run(id, account, execute) {
      removeExpired();
      if (!tickets.isValid(id, account)) {
        return refusalResponse(
          notRun("ticket_invalid", "the ticket was not issued to this account by this box"),
        );
      }
      const key = keyOf(id);
      const existing = entries.get(key);
      if (existing) return replay(existing);
      const now = clock.now();
      if (now >= id.expiresAt + limits.retentionMs) {
        return refusalResponse(
          outcomeUnknown(
            "ticket_expired",
            "the ticket expired too long ago to determine whether the request ran",
          ),
        );
      }
      // Entries are retained past the ticket's expiry, so a request without one has not run.
      if (now >= id.expiresAt) {
        return refusalResponse(
          notRun("ticket_expired", "the ticket has expired; request a new one from /v1/entries", 0),
        );
      }
      if (entries.size >= limits.maxEntries) {
        const waitMs = Math.max(0, ([...entries.values()][0]?.expiresAt ?? now) - now);
        return refusalResponse(
          notRun(
            "once_memory_full",
            "the maximum number of remembered requests is reached",
            waitMs,
          ),
        );
      }
      return runFirst(key, id, execute);
    },
    size: () => entries.size,
  };
}
