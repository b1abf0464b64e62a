/** Options that a caller sets in headers: deadline, priority, request identifier, repeatability. */
import type { Settings } from "@linkfall/config";
import type { CallerRequest } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import type { Account, Milliseconds, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

const defaultPriority = 3;
const maxPriority = 9;

/** Header names, in lower case. */
export const optionHeaders = {
  deadline: "linkfall-deadline-ms",
  priority: "linkfall-priority",
  requestId: "linkfall-request-id",
  repeatable: "linkfall-repeatable",
} as const;

export interface RequestOptions {
  readonly deadlineMs: Milliseconds;
  readonly priority: number;
  readonly requestId?: string;
  /** Undefined if the caller sent no such header. */
  readonly repeatable?: boolean;
}

function parseInteger(text: string | undefined, fallback: number): number | undefined {
  if (text === undefined) return fallback;
  return /^\d{1,9}$/.test(text) ? Number(text) : undefined;
}

function parseBoolean(text: string | undefined): Either<Refusal, boolean | undefined> {
  if (text === undefined) return Right(undefined);
  if (text === "true" || text === "false") return Right(text === "true");
  return Left(notRun("bad_request", `${optionHeaders.repeatable}: must be true or false`));
}

/** Parses the options of a request. Deadline and priority are capped at their configured maximum. */
export function parseRequestOptions(
  request: CallerRequest,
  account: Account,
  limits: Settings["callers"],
): Either<Refusal, RequestOptions> {
  const { headers } = request;
  const deadline = parseInteger(headers[optionHeaders.deadline], limits.default_deadline_ms);
  if (deadline === undefined || deadline === 0) {
    return Left(
      notRun(
        "bad_request",
        `${optionHeaders.deadline}: must be a positive integer of milliseconds`,
      ),
    );
  }
  const priority = parseInteger(headers[optionHeaders.priority], defaultPriority);
  if (priority === undefined || priority > maxPriority) {
    return Left(
      notRun(
        "bad_request",
        `${optionHeaders.priority}: must be an integer from 0 to ${maxPriority}`,
      ),
    );
  }
  return parseBoolean(headers[optionHeaders.repeatable]).map((repeatable) => ({
    deadlineMs: Math.min(deadline, limits.max_deadline_ms),
    priority: Math.min(priority, account.maxPriority),
    requestId: headers[optionHeaders.requestId],
    repeatable,
  }));
}
