/** Finds the endpoint of a request, and checks that the request may run there. */
import type { Kernel } from "@linkfall/kernel";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import type { Account, Refusal } from "@linkfall/types";
import { type Either, Left } from "purify-ts";
import { createCompletionEndpoint } from "./completion-endpoint.js";
import type { RequestOptions } from "./request-options.js";
import { createServiceEndpoint, servicesPath } from "./service-endpoint.js";

/** A request whose endpoint is known and that may run. */
export interface PreparedRequest {
  readonly mayBeRepeated: boolean;
  /** Model and output tokens that it asks for; a plain service has none. */
  readonly model?: string;
  readonly tokens?: number;
  run(gone: AbortSignal): Promise<CallerResponse>;
}

export type PrepareRequest = (
  request: CallerRequest,
  account: Account,
  terms: RequestOptions,
) => Either<Refusal, PreparedRequest>;

/** Creates the endpoints of one box. */
export function createPrepareRequest(kernel: Kernel): PrepareRequest {
  const completions = createCompletionEndpoint(kernel);
  const services = createServiceEndpoint(kernel);
  return (request, account, terms) => {
    if (request.path === "/v1/completions" && request.method === "POST") {
      return completions.check(account, request.body).map((call) => ({
        mayBeRepeated: terms.repeatable ?? true,
        model: call.model.name,
        tokens: call.body.max_tokens,
        run: (gone) => completions.run(account, call, terms, gone),
      }));
    }
    if (request.path.startsWith(servicesPath)) {
      return services.check(account, request.path).map((call) => ({
        mayBeRepeated: terms.repeatable !== false && !call.declaredNotRepeatable,
        run: (gone) => services.run(account, call, request, terms, gone),
      }));
    }
    return Left(notRun("unknown_path", `${request.method} ${request.path}`));
  };
}
