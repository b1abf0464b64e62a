/** Runs a prepared request within the limits of its account, at its owner where it may run once only. */
import type { Kernel } from "@linkfall/kernel";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { notRun, refusalResponse } from "@linkfall/refusals";
import type { Account, Milliseconds } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";
import { createAccountLimits } from "./account-limits.js";
import { inFlightLimiterName } from "./in-flight.js";
import { createOwnerRouter, type OwnerRouter } from "./owner-route.js";
import type { PreparedRequest } from "./prepare-request.js";
import type { RequestOptions } from "./request-options.js";
import { whenRead } from "./response-end.js";

export const retryAfterMs: Milliseconds = 1_000;

/** One request on its way to its endpoint. */
export interface RequestContext {
  readonly request: CallerRequest;
  readonly account: Account;
  readonly options: RequestOptions;
  /** Another box has passed it on. */
  readonly forwarded: boolean;
}

export interface RequestRunner {
  run(input: RequestContext, prepared: PreparedRequest): Promise<CallerResponse>;
  readonly retainedResults: OwnerRouter["retainedResults"];
}

/** Creates the runner of one box. */
export function createRequestRunner(kernel: Kernel): RequestRunner {
  const inFlight = kernel.find(inFlightLimiterName);
  const usage = kernel.find(usageReportsName);
  const limits = createAccountLimits(kernel);
  const owners = createOwnerRouter(kernel);

  /** Counts the request as in flight until its answer has been read, or dropped. */
  const runCounted = async (account: Account, prepared: PreparedRequest, gone: AbortSignal) => {
    if (!inFlight.tryAcquire(account)) {
      return refusalResponse(notRun("overloaded", "this box is full", retryAfterMs));
    }
    const response = await prepared.run(gone);
    return whenRead(response, () => inFlight.release(account));
  };

  const admitAndRun = async (account: Account, prepared: PreparedRequest, gone: AbortSignal) => {
    usage.recordRequest(account.name, prepared.model, prepared.tokens);
    const overRate = limits.admit(account);
    return overRate ? refusalResponse(overRate) : runCounted(account, prepared, gone);
  };

  return {
    run({ request, account, options: terms, forwarded }, prepared) {
      if (prepared.mayBeRepeated) return admitAndRun(account, prepared, request.signal);
      // It runs to its end even when its caller goes, so that a repeat finds its answer.
      const never = new AbortController().signal;
      return owners.handle(request, account, terms, forwarded, () =>
        admitAndRun(account, prepared, never),
      );
    },
    retainedResults: owners.retainedResults,
  };
}
