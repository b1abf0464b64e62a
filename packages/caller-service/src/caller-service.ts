/** The way of every caller's request: who, what, within which limits, and then to its endpoint. */
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
import { createPrepareRequest } from "./prepare-request.js";
import { parseRequestOptions } from "./request-options.js";
import { whenRead } from "./response-end.js";
import { retryAfterMs, createRequestRunner } from "./run-request.js";

export interface CallerService {
  /**
   * Answers one request.
   *
   * @param forwarded whether another box has passed it on; it is then never passed on again
   */
  handle(request: CallerRequest, forwarded?: boolean): Promise<CallerResponse>;
  /** Not repeatable requests that this box remembers. */
  retainedResults(): number;
  /** Requests whose answers have not been passed on whole, those at their owners included. */
  open(): number;
}

export const callerServiceName = serviceName<CallerService>("caller-service");

/** What is counted and logged of an answer. */
function createOutcomeNotes(kernel: Kernel) {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  return (response: CallerResponse, startedAt: Milliseconds) => {
    const outcome = outcomeOf(response);
    metrics.count("linkfall_requests_total", "Requests of callers", { outcome });
    metrics.observe("linkfall_first_byte_ms", "Time to the first byte", clock.now() - startedAt);
    if (outcome === "outcome_unknown") logger.event("outcomeUnknown", { status: response.status });
    else if (outcome !== "answered") logger.event("requestRefused", { status: response.status });
  };
}

/** Creates the service of one box. */
export function createCallerService(kernel: Kernel): CallerService {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const membership = kernel.find(membershipName);
  const settings = kernel.find(settingsName).callers;
  const authenticate = createAuthentication(kernel);
  const entries = createEntriesHandler(kernel);
  const prepare = createPrepareRequest(kernel);
  const runner = createRequestRunner(kernel);
  const note = createOutcomeNotes(kernel);
  let open = 0;

  const mayServe = (): Refusal | undefined => {
    if (!store.ready()) return notRun("not_ready", "this box has no state yet", retryAfterMs);
    if (!membership.isolated()) return undefined;
    return notRun("isolated", "this box is cut off; use another one", retryAfterMs);
  };

  const listModels = (account: Account): CallerResponse => {
    const desired = store.desired();
    const named = [...desired.models.values(), ...desired.adapters.values()];
    const own = named.filter((entry) => entry.accounts.includes(account.name));
    const data = own.map((entry) => ({ id: entry.name, object: "model" }));
    return jsonResponse({ object: "list", data });
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
    return parseRequestOptions(request, account, settings)
      .chain((terms) =>
        prepare(request, account, terms).map((prepared) =>
          runner.run({ request, account, options: terms, forwarded }, prepared),
        ),
      )
      .caseOf({
        Left: (refusal) => Promise.resolve(refusalResponse(refusal)),
        Right: (response) => response,
      });
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
    async handle(request, forwarded = false) {
      open += 1;
      const response = await handle(request, forwarded);
      return whenRead(response, () => void (open -= 1));
    },
    retainedResults: runner.retainedResults,
    open: () => open,
  };
}
