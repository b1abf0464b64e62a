/** Runs prepared requests within the limits of their accounts; non-repeatable ones run at their owner. */
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
import { withBodyEnd } from "./response-end.js";

export const retryAfterMs: Milliseconds = 1_000;

/** A request with its account and options. */
export interface RequestContext {
  readonly request: CallerRequest;
  readonly account: Account;
  readonly options: RequestOptions;
  /** Whether another box forwarded it. */
  readonly forwarded: boolean;
}

export interface RequestRunner {
  run(context: RequestContext, prepared: PreparedRequest): Promise<CallerResponse>;
  readonly retainedResults: OwnerRouter["retainedResults"];
}

/** Creates the request runner of this box. */
export function createRequestRunner(kernel: Kernel): RequestRunner {
  const inFlightLimiter = kernel.find(inFlightLimiterName);
  const usage = kernel.find(usageReportsName);
  const limits = createAccountLimits(kernel);
  const ownerRouter = createOwnerRouter(kernel);

  /** Counts the request as in flight until its response body has been read or abandoned. */
  const runInFlight = async (account: Account, prepared: PreparedRequest, signal: AbortSignal) => {
    if (!inFlightLimiter.tryAcquire(account)) {
      return refusalResponse(
        notRun("overloaded", "this box has reached its limit of requests in flight", retryAfterMs),
      );
    }
    const response = await prepared.run(signal);
    return withBodyEnd(response, () => inFlightLimiter.release(account));
  };

  const admitAndRun = async (account: Account, prepared: PreparedRequest, signal: AbortSignal) => {
    usage.recordRequest(account.name, prepared.model, prepared.maxTokens);
    const overRate = limits.admit(account);
    return overRate ? refusalResponse(overRate) : runInFlight(account, prepared, signal);
  };

  return {
    run({ request, account, options, forwarded }, prepared) {
      if (prepared.repeatable) return admitAndRun(account, prepared, request.signal);
      // Not aborted when the caller disconnects: a retry receives the retained result.
      const neverAborted = new AbortController().signal;
      return ownerRouter.handle(request, account, options, forwarded, () =>
        admitAndRun(account, prepared, neverAborted),
      );
    },
    retainedResults: ownerRouter.retainedResults,
  };
}
