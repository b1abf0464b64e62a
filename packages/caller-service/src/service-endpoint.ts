/** `/services/<name>/<path>`: calls to plain services. */
import { clockName, type Kernel } from "@linkfall/kernel";
import { plainCallsName } from "@linkfall/plain-call";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { fingerprintOf } from "@linkfall/request-fingerprint";
import { notRun } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, PlainService, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { RequestOptions } from "./request-options.js";

/** Path under which plain services are called. */
export const servicesPath = "/services/";
/** Methods that are safe to repeat unless the caller or the service says otherwise. */
const idempotentMethods = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
/** Headers that are the box's business and not the service's. */
const withheld = /^(authorization|host|content-length|linkfall-.*)$/;

/** A checked call. */
export interface ServiceCall {
  readonly service: PlainService;
  readonly path: string;
  /** Whether the service itself declares that the call may not be repeated. */
  readonly declaredNotRepeatable: boolean;
}

export interface ServiceEndpoint {
  check(account: Account, path: string): Either<Refusal, ServiceCall>;
  run(
    account: Account,
    call: ServiceCall,
    request: CallerRequest,
    terms: RequestOptions,
    gone: AbortSignal,
  ): Promise<CallerResponse>;
}

/** Creates the endpoint of one box. */
export function createServiceEndpoint(kernel: Kernel): ServiceEndpoint {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const calls = kernel.find(plainCallsName);
  return {
    check(account, path) {
      const rest = path.slice(servicesPath.length);
      const [name] = rest.split(/[/?]/, 1);
      const service = store.desired().services.get(name);
      if (!service?.accounts.includes(account.name)) {
        return Left(notRun("unknown_service", "there is no such service for this account"));
      }
      const servicePath = rest.slice(name.length) || "/";
      const declaredNotRepeatable = service.notRepeatablePaths.some((prefix) =>
        servicePath.startsWith(prefix),
      );
      return Right({ service, path: servicePath, declaredNotRepeatable });
    },
    run(account, call, request, terms, gone) {
      const headers = Object.entries(request.headers).filter(([name]) => !withheld.test(name));
      const repeatable = terms.repeatable ?? idempotentMethods.includes(request.method);
      return calls.run({
        account: account.name,
        fingerprint: fingerprintOf({
          account: account.name,
          method: request.method,
          host: "",
          path: request.path,
          body: request.body,
        }),
        service: call.service,
        method: request.method,
        path: call.path,
        headers: Object.fromEntries(headers),
        body: request.body,
        deadlineAt: clock.now() + terms.deadlineMs,
        repeatable: repeatable && !call.declaredNotRepeatable,
        callerGone: gone,
      });
    },
  };
}
