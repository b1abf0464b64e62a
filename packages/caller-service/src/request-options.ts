/** The terms that a caller sets in headers: deadline, priority, identifier and repeatability. */
import type { Settings } from "@linkfall/config";
import type { CallerRequest } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import type { Account, Milliseconds, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

const standardPriority = 3;
const highestPriority = 9;

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
  /** What the caller says; undefined where it says nothing. */
  readonly repeatable?: boolean;
}

function wholeNumber(text: string | undefined, standard: number): number | undefined {
  if (text === undefined) return standard;
  return /^\d{1,9}$/.test(text) ? Number(text) : undefined;
}

function flag(text: string | undefined): Either<Refusal, boolean | undefined> {
  if (text === undefined) return Right(undefined);
  if (text === "true" || text === "false") return Right(text === "true");
  return Left(notRun("bad_request", `${optionHeaders.repeatable}: true or false`));
}

/** Reads the terms of a request; priorities above the account's highest are lowered to it. */
export function parseRequestOptions(
  request: CallerRequest,
  account: Account,
  limits: Settings["callers"],
): Either<Refusal, RequestOptions> {
  const { headers } = request;
  const deadline = wholeNumber(headers[optionHeaders.deadline], limits.default_deadline_ms);
  if (deadline === undefined || deadline === 0) {
    return Left(notRun("bad_request", `${optionHeaders.deadline}: a whole number of milliseconds`));
  }
  const priority = wholeNumber(headers[optionHeaders.priority], standardPriority);
  if (priority === undefined || priority > highestPriority) {
    return Left(notRun("bad_request", `${optionHeaders.priority}: 0 to ${highestPriority}`));
  }
  return flag(headers[optionHeaders.repeatable]).map((repeatable) => ({
    deadlineMs: Math.min(deadline, limits.max_deadline_ms),
    priority: Math.min(priority, account.maxPriority),
    requestId: headers[optionHeaders.requestId],
    repeatable,
  }));
}
