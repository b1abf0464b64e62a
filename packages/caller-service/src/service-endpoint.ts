/** `/services/<name>/<path>`: requests to plain services. */
import { clockName, type Kernel } from "@linkfall/kernel";
import { plainCallsName } from "@linkfall/plain-call";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { fingerprintOf } from "@linkfall/request-fingerprint";
import { notRun } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, PlainService, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { RequestOptions } from "./request-options.js";

/** Path prefix of plain services. */
export const servicesPath = "/services/";
/** Methods that are repeatable unless the caller or the service declares otherwise. */
const idempotentMethods = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];
/** Headers that are not forwarded to the service. */
const internalHeaders = /^(authorization|host|content-length|linkfall-.*)$/;

/** A validated request to a plain service. */
export interface ServiceCall {
  readonly service: PlainService;
  readonly path: string;
  /** Whether the service declares this path as not repeatable. */
  readonly declaredNotRepeatable: boolean;
}

export interface ServiceEndpoint {
  check(account: Account, path: string): Either<Refusal, ServiceCall>;
  run(
    account: Account,
    call: ServiceCall,
    request: CallerRequest,
    options: RequestOptions,
    signal: AbortSignal,
  ): Promise<CallerResponse>;
}

/** Creates the endpoint for plain services of this box. */
export function createServiceEndpoint(kernel: Kernel): ServiceEndpoint {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const plainCalls = kernel.find(plainCallsName);
  return {
    check(account, path) {
      const rest = path.slice(servicesPath.length);
      const [name] = rest.split(/[/?]/, 1);
      const service = store.desired().services.get(name);
      if (!service?.accounts.includes(account.name)) {
        return Left(notRun("unknown_service", "no such service for this account"));
      }
      const servicePath = rest.slice(name.length) || "/";
      const declaredNotRepeatable = service.notRepeatablePaths.some((prefix) =>
        servicePath.startsWith(prefix),
      );
      return Right({ service, path: servicePath, declaredNotRepeatable });
    },
    run(account, call, request, options, signal) {
      const headers = Object.entries(request.headers).filter(
        ([name]) => !internalHeaders.test(name),
      );
      const repeatable = options.repeatable ?? idempotentMethods.includes(request.method);
      return plainCalls.run({
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
        deadlineAt: clock.now() + options.deadlineMs,
        repeatable: repeatable && !call.declaredNotRepeatable,
        callerGone: signal,
      });
    },
  };
}
