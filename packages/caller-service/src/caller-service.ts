/** The way of every caller's request: who, what, within which limits, and then to its endpoint. */
import { createHash } from "node:crypto";
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { membershipName } from "@linkfall/membership";
import { metricsName } from "@linkfall/metrics";
import type { BodyPart, CallerRequest, CallerResponse } from "@linkfall/ports";
import { jsonResponse, notRun, outcomeOf, refusalResponse } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, Milliseconds, Refusal } from "@linkfall/types";
import { usageReportsName } from "@linkfall/usage-report";
import { type Either, Left, Right } from "purify-ts";
import { createAccountLimits } from "./account-limits.js";
import { createCompletionEndpoint } from "./completion-endpoint.js";
import { createEntries } from "./entries.js";
import { inFlightName } from "./in-flight.js";
import { createOwnerRoute } from "./owner-route.js";
import { readTerms, type RequestTerms } from "./request-terms.js";
import { createServiceEndpoint, servicesPath } from "./service-endpoint.js";

const bearer = /^Bearer (\S+)$/i;
const comeBackSoonMs: Milliseconds = 1_000;

export interface CallerService {
  /**
   * Answers one request.
   *
   * @param forwarded whether another box has passed it on; it is then never passed on again
   */
  handle(request: CallerRequest, forwarded?: boolean): Promise<CallerResponse>;
  /** Not repeatable requests that this box remembers. */
  remembered(): number;
  /** Requests whose answers have not been passed on whole, those at their owners included. */
  open(): number;
}

export const callerServiceName = serviceName<CallerService>("caller-service");

/** A request whose endpoint is known and that may run. */
interface PreparedRequest {
  readonly mayBeRepeated: boolean;
  /** Model and output tokens that it asks for; a plain service has none. */
  readonly model?: string;
  readonly tokens?: number;
  run(gone: AbortSignal): Promise<CallerResponse>;
}

/** Creates the service of one box. */
export function createCallerService(kernel: Kernel): CallerService {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const membership = kernel.find(membershipName);
  const inFlight = kernel.find(inFlightName);
  const settings = kernel.find(settingsName).callers;
  const limits = createAccountLimits(kernel);
  const entries = createEntries(kernel);
  const owners = createOwnerRoute(kernel);
  const completions = createCompletionEndpoint(kernel);
  const services = createServiceEndpoint(kernel);
  const usage = kernel.find(usageReportsName);

  const mayServe = (): Refusal | undefined => {
    if (!store.ready()) return notRun("not_ready", "this box has no state yet", comeBackSoonMs);
    if (!membership.isolated()) return undefined;
    return notRun("isolated", "this box is cut off; use another one", comeBackSoonMs);
  };

  const authenticate = (request: CallerRequest): Either<Refusal, Account> => {
    const token = bearer.exec(request.headers["authorization"] ?? "")?.[1];
    if (token === undefined) return Left(notRun("unauthenticated", "a bearer token is needed"));
    const hash = createHash("sha256").update(token).digest("hex");
    const account = store.desired().accountsByToken.get(hash);
    return account ? Right(account) : Left(notRun("unauthenticated", "unknown token"));
  };

  const prepare = (
    request: CallerRequest,
    account: Account,
    terms: RequestTerms,
  ): Either<Refusal, PreparedRequest> => {
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

  /** Counts the request as in flight until its answer has been read, or dropped. */
  const counted = async (
    account: Account,
    run: () => Promise<CallerResponse>,
  ): Promise<CallerResponse> => {
    if (!inFlight.enter(account)) {
      return refusalResponse(notRun("overloaded", "this box is full", comeBackSoonMs));
    }
    let left = false;
    const leave = () => {
      if (!left) inFlight.leave(account);
      left = true;
    };
    const response = await run();
    if (response.body instanceof Uint8Array) {
      leave();
      return response;
    }
    return { ...response, body: withEnd(response.body, leave) };
  };

  const execute = (
    request: CallerRequest,
    account: Account,
    terms: RequestTerms,
    prepared: PreparedRequest,
    forwarded: boolean,
  ): Promise<CallerResponse> => {
    const admitted = () => {
      usage.note(account.name, prepared.model, prepared.tokens);
      const overRate = limits.admit(account);
      return overRate ? Promise.resolve(refusalResponse(overRate)) : undefined;
    };
    if (prepared.mayBeRepeated) {
      return admitted() ?? counted(account, () => prepared.run(request.gone));
    }
    // It runs to its end even when its caller goes, so that a repeat finds its answer.
    return owners.handle(request, account, terms, forwarded, async () => {
      return (
        (await admitted()) ?? counted(account, () => prepared.run(new AbortController().signal))
      );
    });
  };

  const answer = async (
    request: CallerRequest,
    account: Account,
    forwarded: boolean,
  ): Promise<CallerResponse> => {
    const [path, query] = request.path.split("?", 2);
    if (path === "/v1/entries" && request.method === "GET") {
      return entries(account, new URLSearchParams(query));
    }
    if (path === "/v1/models" && request.method === "GET") return listModels(account);
    return readTerms(request, account, settings)
      .chain((terms) =>
        prepare(request, account, terms).map((prepared) =>
          execute(request, account, terms, prepared, forwarded),
        ),
      )
      .caseOf({
        Left: (refusal) => Promise.resolve(refusalResponse(refusal)),
        Right: (response) => response,
      });
  };

  const listModels = (account: Account): CallerResponse => {
    const desired = store.desired();
    const named = [...desired.models.values(), ...desired.adapters.values()];
    const own = named.filter((entry) => entry.accounts.includes(account.name));
    const data = own.map((entry) => ({ id: entry.name, object: "model" }));
    return jsonResponse({ object: "list", data });
  };

  let open = 0;

  /** Counts a request as open until its answer has been read to its end, or dropped. */
  const whileOpen = async (run: () => Promise<CallerResponse>): Promise<CallerResponse> => {
    open += 1;
    const response = await run();
    const close = () => {
      open -= 1;
    };
    if (!(response.body instanceof Uint8Array)) {
      return { ...response, body: withEnd(response.body, close) };
    }
    close();
    return response;
  };

  const note = (response: CallerResponse, startedAt: Milliseconds) => {
    const outcome = outcomeOf(response);
    metrics.count("linkfall_requests_total", "Requests of callers", { outcome });
    metrics.observe("linkfall_first_byte_ms", "Time to the first byte", clock.now() - startedAt);
    if (outcome === "outcome_unknown") logger.event("outcomeUnknown", { status: response.status });
    else if (outcome !== "answered") logger.event("requestRefused", { status: response.status });
  };

  const handle = async (request: CallerRequest, forwarded: boolean): Promise<CallerResponse> => {
    const startedAt = clock.now();
    const unable = mayServe();
    const response = unable
      ? refusalResponse(unable)
      : await authenticate(request).caseOf({
          Left: (refusal) => Promise.resolve(refusalResponse(refusal)),
          Right: (account) => answer(request, account, forwarded),
        });
    note(response, startedAt);
    return response;
  };

  return {
    handle: (request, forwarded = false) => whileOpen(() => handle(request, forwarded)),
    remembered: owners.remembered,
    open: () => open,
  };
}

/** The same body, with a call when it has ended or its reader has gone. */
async function* withEnd(
  body: AsyncIterable<BodyPart>,
  ended: () => void,
): AsyncGenerator<BodyPart> {
  try {
    yield* body;
  } finally {
    ended();
  }
}
