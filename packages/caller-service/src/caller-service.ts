/** Handles callers' requests: authentication, options, limits and dispatch to an endpoint. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { membershipName } from "@linkfall/membership";
import { metricsName } from "@linkfall/metrics";
import type { CallerRequest, CallerResponse } from "@linkfall/ports";
import { jsonResponse, notRun, outcomeOf, refusalResponse } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, Milliseconds, Refusal } from "@linkfall/types";
import { createAuthentication } from "./authentication.js";
import { createEntriesHandler } from "./entries.js";
import { createRequestPreparer } from "./prepare-request.js";
import { parseRequestOptions } from "./request-options.js";
import { withBodyEnd } from "./response-end.js";
import { retryAfterMs, createRequestRunner } from "./run-request.js";

export interface CallerService {
  /**
   * Handles one request.
   *
   * @param forwarded whether another box forwarded it; it is then not forwarded again
   */
  handle(request: CallerRequest, forwarded?: boolean): Promise<CallerResponse>;
  /** Number of non-repeatable requests whose results this box retains. */
  retainedResults(): number;
  /** Number of requests whose responses are not complete, including those forwarded to their owners. */
  open(): number;
}

export const callerServiceName = serviceName<CallerService>("caller-service");

/** Creates a function that records metrics and log events of a response. */
function createOutcomeRecorder(kernel: Kernel) {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  return (response: CallerResponse, startedAt: Milliseconds) => {
    const outcome = outcomeOf(response);
    metrics.count("linkfall_requests_total", "Requests by outcome", { outcome });
    metrics.observe(
      "linkfall_first_byte_ms",
      "Time to first byte in milliseconds",
      clock.now() - startedAt,
    );
    if (outcome === "outcome_unknown") logger.event("outcomeUnknown", { status: response.status });
    else if (outcome !== "answered") logger.event("requestRefused", { status: response.status });
  };
}

/** Creates the caller service of this box. */
export function createCallerService(kernel: Kernel): CallerService {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const settings = kernel.find(settingsName).callers;
  const authenticate = createAuthentication(kernel);
  const handleEntries = createEntriesHandler(kernel);
  const prepare = createRequestPreparer(kernel);
  const runner = createRequestRunner(kernel);
  const recordOutcome = createOutcomeRecorder(kernel);
  let open = 0;

  const serviceRefusal = (): Refusal | undefined => {
    if (!store.ready()) return notRun("not_ready", "this box is still starting", retryAfterMs);
    if (!membership.isolated()) return undefined;
    return notRun(
      "isolated",
      "this box is isolated from the other boxes; use another one",
      retryAfterMs,
    );
  };

  const listModels = (account: Account): CallerResponse => {
    const desired = store.desired();
    const declared = [...desired.models.values(), ...desired.adapters.values()];
    const allowed = declared.filter((entry) => entry.accounts.includes(account.name));
    const data = allowed.map((entry) => ({ id: entry.name, object: "model" }));
    return jsonResponse({ object: "list", data });
  };

  const route = async (
    request: CallerRequest,
    account: Account,
    forwarded: boolean,
  ): Promise<CallerResponse> => {
    const [path, query] = request.path.split("?", 2);
    if (path === "/v1/entries" && request.method === "GET") {
      return handleEntries(account, new URLSearchParams(query));
    }
    if (path === "/v1/models" && request.method === "GET") return listModels(account);
    return parseRequestOptions(request, account, settings)
      .chain((options) =>
        prepare(request, account, options).map((prepared) =>
          runner.run({ request, account, options, forwarded }, prepared),
        ),
      )
      .caseOf({
        Left: (refusal) => Promise.resolve(refusalResponse(refusal)),
        Right: (response) => response,
      });
  };

  const handle = async (request: CallerRequest, forwarded: boolean): Promise<CallerResponse> => {
    const startedAt = clock.now();
    const unavailable = serviceRefusal();
    const response = unavailable
      ? refusalResponse(unavailable)
      : await authenticate(request).caseOf({
          Left: (refusal) => Promise.resolve(refusalResponse(refusal)),
          Right: (account) => route(request, account, forwarded),
        });
    recordOutcome(response, startedAt);
    return response;
  };

  return {
    async handle(request, forwarded = false) {
      open += 1;
      try {
        const response = await handle(request, forwarded);
        return withBodyEnd(response, () => void (open -= 1));
      } catch (defect) {
        open -= 1;
        throw defect;
      }
    },
    retainedResults: runner.retainedResults,
    open: () => open,
  };
}
