/** Routes non-repeatable requests to the box incarnation that issued their ticket. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, withTimeout } from "@linkfall/kernel";
import { incarnationName } from "@linkfall/log-writer";
import { membershipName } from "@linkfall/membership";
import { createOnceMemory, type OnceId, parseOnceId } from "@linkfall/once";
import { type CallerRequest, type CallerResponse, peerPortName } from "@linkfall/ports";
import { notRun, outcomeUnknown, refusalResponse } from "@linkfall/refusals";
import type { Account, Milliseconds } from "@linkfall/types";
import { ticketIssuerName } from "./entries.js";
import { type RequestOptions, optionHeaders } from "./request-options.js";

const ticketInstructions =
  "a non-repeatable request requires a ticket: get one from /v1/entries, and send " +
  `${optionHeaders.requestId}: <ticket id>/<your own suffix>`;

export interface OwnerRouter {
  /**
   * Runs a non-repeatable request here if this box owns it, otherwise forwards it to the owner.
   *
   * @param forwarded whether another box has already forwarded it
   * @param execute runs the request; called at most once per request identifier
   */
  handle(
    request: CallerRequest,
    account: Account,
    options: RequestOptions,
    forwarded: boolean,
    execute: () => Promise<CallerResponse>,
  ): Promise<CallerResponse>;
  /** Number of requests whose results are retained. */
  retainedResults(): number;
}

/** Creates the owner router of this box. */
export function createOwnerRouter(kernel: Kernel): OwnerRouter {
  const clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const incarnation = kernel.find(incarnationName);
  const peers = kernel.find(peerPortName);
  const settings = kernel.find(settingsName).callers;
  const results = createOnceMemory(clock, kernel.find(ticketIssuerName), {
    retentionMs: settings.once_retention_ms,
    maxEntries: settings.once_entries,
    maxAnswerBytes: settings.once_answer_bytes,
  });

  const ownerGone = (reason: string) =>
    refusalResponse(outcomeUnknown("owner_gone", `the box that owns this request ${reason}`));

  const forwardToOwner = async (
    request: CallerRequest,
    id: OnceId,
    timeoutMs: Milliseconds,
  ): Promise<CallerResponse> => {
    const owner = membership.find(id.owner);
    if (!owner) return ownerGone("is gone");
    const response = await withTimeout(clock, timeoutMs, peers.forward(owner.peerAddress, request));
    if (!response) return ownerGone("did not respond in time");
    return response.caseOf({
      Right: (forwarded) => forwarded,
      // An earlier attempt with this identifier may have run there: the outcome is unknown.
      Left: (failure) => ownerGone(`cannot be reached: ${failure.reason}`),
    });
  };

  return {
    async handle(request, account, options, forwarded, execute) {
      const { requestId, deadlineMs } = options;
      if (requestId === undefined) {
        return refusalResponse(notRun("ticket_required", ticketInstructions));
      }
      const id = parseOnceId(requestId);
      if (!id) return refusalResponse(notRun("ticket_invalid", ticketInstructions));
      if (id.owner === incarnation) return results.run(id, account.name, execute);
      // This box is a newer incarnation at the owner's address.
      if (forwarded) return ownerGone("is gone");
      return forwardToOwner(request, id, deadlineMs);
    },
    retainedResults: results.size,
  };
}
