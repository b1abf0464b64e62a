/** Runs a prepared request within the limits of its account, at its owner where it may run once only. */
import type { Kernel } from "@linkfall/kernel";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { notRun, refusalResponse } from "@linkfall/refusals";
import type { Account, Milliseconds } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";
import { createAccountLimits } from "./account-limits.js";
import { inFlightName } from "./in-flight.js";
import { createOwnerRoute, type OwnerRoute } from "./owner-route.js";
import type { PreparedRequest } from "./prepare-request.js";
import type { RequestTerms } from "./request-terms.js";
import { whenRead } from "./response-end.js";

export const comeBackSoonMs: Milliseconds = 1_000;

/** One request on its way to its endpoint. */
export interface RunInput {
  readonly request: CallerRequest;
  readonly account: Account;
  readonly terms: RequestTerms;
  /** Another box has passed it on. */
  readonly forwarded: boolean;
}

export interface RequestRunner {
  run(input: RunInput, prepared: PreparedRequest): Promise<CallerResponse>;
  readonly remembered: OwnerRoute["remembered"];
}

/** Creates the runner of one box. */
export function createRequestRunner(kernel: Kernel): RequestRunner {
  const inFlight = kernel.find(inFlightName);
  const usage = kernel.find(usageReportsName);
  const limits = createAccountLimits(kernel);
  const owners = createOwnerRoute(kernel);

  /** Counts the request as in flight until its answer has been read, or dropped. */
  const runCounted = async (account: Account, prepared: PreparedRequest, gone: AbortSignal) => {
    if (!inFlight.enter(account)) {
      return refusalResponse(notRun("overloaded", "this box is full", comeBackSoonMs));
    }
    const response = await prepared.run(gone);
    return whenRead(response, () => inFlight.leave(account));
  };

  const admitAndRun = async (account: Account, prepared: PreparedRequest, gone: AbortSignal) => {
    usage.recordRequest(account.name, prepared.model, prepared.tokens);
    const overRate = limits.admit(account);
    return overRate ? refusalResponse(overRate) : runCounted(account, prepared, gone);
  };

  return {
    run({ request, account, terms, forwarded }, prepared) {
      if (prepared.mayBeRepeated) return admitAndRun(account, prepared, request.signal);
      // It runs to its end even when its caller goes, so that a repeat finds its answer.
      const never = new AbortController().signal;
      return owners.handle(request, account, terms, forwarded, () =>
        admitAndRun(account, prepared, never),
      );
    },
    remembered: owners.remembered,
  };
}
