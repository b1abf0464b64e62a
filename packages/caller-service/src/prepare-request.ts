/** Selects the endpoint of a request and validates the request for it. */
import type { Kernel } from "@linkfall/kernel";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import type { Account, Refusal } from "@linkfall/types";
import { type Either, Left } from "purify-ts";
import { createCompletionEndpoint } from "./completion-endpoint.js";
import type { RequestOptions } from "./request-options.js";
import { createServiceEndpoint, servicesPath } from "./service-endpoint.js";

/** A validated request, bound to its endpoint. */
export interface PreparedRequest {
  readonly repeatable: boolean;
  /** Requested model and output tokens; undefined for plain services. */
  readonly model?: string;
  readonly maxTokens?: number;
  run(signal: AbortSignal): Promise<CallerResponse>;
}

export type RequestPreparer = (
  request: CallerRequest,
  account: Account,
  options: RequestOptions,
) => Either<Refusal, PreparedRequest>;

/** Creates the endpoints of this box. */
export function createRequestPreparer(kernel: Kernel): RequestPreparer {
  const completions = createCompletionEndpoint(kernel);
  const services = createServiceEndpoint(kernel);
  return (request, account, options) => {
    if (request.path === "/v1/completions" && request.method === "POST") {
      return completions.check(account, request.body).map((call) => ({
        repeatable: options.repeatable ?? true,
        model: call.model.name,
        maxTokens: call.body.max_tokens,
        run: (signal) => completions.run(account, call, options, signal),
      }));
    }
    if (request.path.startsWith(servicesPath)) {
      return services.check(account, request.path).map((call) => ({
        repeatable: options.repeatable !== false && !call.declaredNotRepeatable,
        run: (signal) => services.run(account, call, request, options, signal),
      }));
    }
    return Left(notRun("unknown_path", `${request.method} ${request.path}`));
  };
}
