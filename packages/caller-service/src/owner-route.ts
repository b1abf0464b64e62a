/** Takes a not repeatable request to the box start that owns its ticket. */
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

const howToGetATicket =
  "a not repeatable request needs a ticket: ask /v1/entries, and send " +
  `${optionHeaders.requestId}: <ticket id>/<your own part>`;

export interface OwnerRouter {
  /**
   * Runs a not repeatable request here when this box owns it, else passes it to the owner.
   *
   * @param forwarded whether another box has passed it on already
   * @param execute runs the request; called at most once for an identifier
   */
  handle(
    request: CallerRequest,
    account: Account,
    terms: RequestOptions,
    forwarded: boolean,
    execute: () => Promise<CallerResponse>,
  ): Promise<CallerResponse>;
  /** Requests that are remembered. */
  retainedResults(): number;
}

/** Creates the routing to owners of one box. */
export function createOwnerRouter(kernel: Kernel): OwnerRouter {
  const clock = kernel.find(clockName);
  const membership = kernel.find(membershipName);
  const incarnation = kernel.find(incarnationName);
  const peers = kernel.find(peerPortName);
  const settings = kernel.find(settingsName).callers;
  const memory = createOnceMemory(clock, kernel.find(ticketIssuerName), {
    retentionMs: settings.once_retention_ms,
    maxEntries: settings.once_entries,
    maxAnswerBytes: settings.once_answer_bytes,
  });

  const ownerGone = (reason: string) =>
    refusalResponse(outcomeUnknown("owner_gone", `the box that owns this request ${reason}`));

  const passToOwner = async (
    request: CallerRequest,
    id: OnceId,
    limit: Milliseconds,
  ): Promise<CallerResponse> => {
    const owner = membership.find(id.owner);
    if (!owner) return ownerGone("is gone");
    const answer = await withTimeout(clock, limit, peers.forward(owner.peerAddress, request));
    if (!answer) return ownerGone("does not answer");
    return answer.caseOf({
      Right: (response) => response,
      // An earlier request with this identifier may have run there, so this is never "not run".
      Left: (failure) => ownerGone(`cannot be reached: ${failure.reason}`),
    });
  };

  return {
    async handle(request, account, terms, forwarded, execute) {
      const { requestId, deadlineMs } = terms;
      if (requestId === undefined) {
        return refusalResponse(notRun("ticket_required", howToGetATicket));
      }
      const id = parseOnceId(requestId);
      if (!id) return refusalResponse(notRun("ticket_invalid", howToGetATicket));
      if (id.owner === incarnation) return memory.run(id, account.name, execute);
      // The owner's address has been taken over by another start of the box.
      if (forwarded) return ownerGone("is gone");
      return passToOwner(request, id, deadlineMs);
    },
    retainedResults: memory.size,
  };
}
