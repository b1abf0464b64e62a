/** The owner's memory of not repeatable requests. */
import { invariant } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { CallerResponse } from "@linkfall/ports";
import { notRun, outcomeOf, outcomeUnknown, refusalResponse } from "@linkfall/refusals";
import type { Milliseconds } from "@linkfall/types";
import { type SharedResponse, shareResponse } from "./shared-response.js";
import type { OnceId, TicketIssuer } from "./tickets.js";

/** Limits of the memory. */
export interface OnceLimits {
  readonly retentionMs: Milliseconds;
  readonly maxEntries: number;
  readonly maxAnswerBytes: number;
}

interface OnceEntry {
  readonly forgetAt: Milliseconds;
  /** Its answer; given up to save memory, while the entry itself stays. */
  answer?: Promise<SharedResponse>;
  /** The answer once it has ended, while its bytes are counted. */
  held?: SharedResponse;
}

export interface OnceMemory {
  /**
   * Runs `execute` for the first request with this identifier; every other one gets the same answer.
   * A request that was not run is forgotten, so it may be tried again.
   */
  run(id: OnceId, account: string, execute: () => Promise<CallerResponse>): Promise<CallerResponse>;
  /** Requests that are remembered. */
  size(): number;
}

/** Creates an empty memory. */
export function createOnceMemory(
  clock: Clock,
  office: TicketIssuer,
  limits: OnceLimits,
): OnceMemory {
  const entries = new Map<string, OnceEntry>();
  /** Entries whose ended answers are held, oldest first. */
  const holding = new Set<OnceEntry>();
  let heldBytes = 0;

  const keyOf = (id: OnceId) => `${id.ticketNumber}.${id.expiresAt}/${id.suffix}`;

  /** Entries stand nearly in the order of their time; the few out of it go a little later. */
  const forgetOld = () => {
    const now = clock.now();
    for (const [key, entry] of entries) {
      if (entry.forgetAt > now) return;
      entries.delete(key);
      release(entry);
    }
  };

  const release = (entry: OnceEntry) => {
    if (!holding.delete(entry)) return;
    heldBytes -= entry.held?.sizeBytes() ?? 0;
    entry.held = undefined;
  };

  /** Gives up the oldest answers; that their requests ran stays remembered. */
  const trimAnswers = () => {
    for (const entry of holding) {
      if (heldBytes <= limits.maxAnswerBytes) return;
      release(entry);
      entry.answer = undefined;
    }
  };

  const keepWhenFinished = async (key: string, entry: OnceEntry) => {
    const answer = await entry.answer;
    await answer?.finished;
    if (!answer || entries.get(key) !== entry) return;
    entry.held = answer;
    holding.add(entry);
    heldBytes += answer.sizeBytes();
    trimAnswers();
  };

  const begin = async (
    key: string,
    id: OnceId,
    execute: () => Promise<CallerResponse>,
  ): Promise<CallerResponse> => {
    const answer = execute().then(shareResponse);
    const entry: OnceEntry = {
      forgetAt: id.expiresAt + limits.retentionMs,
      answer,
    };
    invariant(!entries.has(key), "runs-at-most-once", () => key);
    entries.set(key, entry);
    const first = (await answer).createReader();
    if (outcomeOf(first) === "not_run") entries.delete(key);
    else void keepWhenFinished(key, entry);
    return first;
  };

  const repeat = async (entry: OnceEntry): Promise<CallerResponse> => {
    if (!entry.answer) {
      return refusalResponse(
        outcomeUnknown("answer_not_kept", "it ran; its answer is no longer held"),
      );
    }
    const answer = await entry.answer;
    const response = answer.createReader();
    return { ...response, headers: { ...response.headers, "linkfall-repeated": "true" } };
  };

  return {
    async run(id, account, execute) {
      forgetOld();
      if (!office.isValid(id, account)) {
        return refusalResponse(notRun("ticket_invalid", "the ticket is not one of this account"));
      }
      const key = keyOf(id);
      const known = entries.get(key);
      if (known) return repeat(known);
      const now = clock.now();
      if (now >= id.expiresAt + limits.retentionMs) {
        return refusalResponse(
          outcomeUnknown("ticket_expired", "too long ago to know whether it ran"),
        );
      }
      // Within the retention an identifier that is not remembered has not run.
      if (now >= id.expiresAt) {
        return refusalResponse(notRun("ticket_expired", "ask /v1/entries for a new ticket", 0));
      }
      if (entries.size >= limits.maxEntries) {
        const wait = Math.max(0, ([...entries.values()][0]?.forgetAt ?? now) - now);
        return refusalResponse(
          notRun("once_memory_full", "too many requests are remembered", wait),
        );
      }
      return begin(key, id, execute);
    },
    size: () => entries.size,
  };
}
