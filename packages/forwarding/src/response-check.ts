/** Tells from the head of a response whether it can be the target's answer to the request. */
import { findUnwritableHeader } from "@linkfall/header-syntax";
import type { ResponseMetadata } from "@linkfall/ports";
import type { ResponseHead } from "@linkfall/raw-exchange";
import { isFinalStatus } from "@linkfall/response-bounds";

/** Why the head of a response is rejected. */
export type HeadProblem =
  "invalid status" | "invalid header" | "answer to another request" | "unsigned success";

/** Statuses from here on are no successes. */
const minRedirection = 300;

/** Returns why the response must not be passed on, or undefined if it may be. */
export function findHeadProblem(
  { status, headers }: ResponseHead,
  metadata: ResponseMetadata,
  requestId: string,
): HeadProblem | undefined {
  if (!isFinalStatus(status)) return "invalid status";
  if (findUnwritableHeader(headers) !== undefined) return "invalid header";
  if (metadata.requestId !== undefined && metadata.requestId !== requestId)
    return "answer to another request";
  // A failure misleads nobody, and servers reject requests without naming them.
  const isNamed = metadata.requestId === requestId || requestId === "";
  if (status < minRedirection && !(metadata.isSigned && isNamed)) return "unsigned success";
  return undefined;
}
