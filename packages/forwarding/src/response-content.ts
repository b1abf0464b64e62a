/** Tells from the head of a response whether its body is an event stream. */
import type { ResponseHead } from "@linkfall/raw-exchange";

const eventStreamType = "text/event-stream";
const minSuccess = 200;
const maxSuccess = 299;
/** Successes that have no body, whatever their headers. */
const bodylessStatuses = new Set([204, 205]);

function findHeader({ headers }: ResponseHead, wanted: string): string | undefined {
  const index = headers.findIndex(
    (name, position) => position % 2 === 0 && name.toLowerCase() === wanted,
  );
  const value = index < 0 ? "" : headers[index + 1].trim().toLowerCase();
  return value === "" ? undefined : value;
}

/** Whether events cannot be told apart in the body without decoding it. */
const isEncoded = (head: ResponseHead) =>
  (findHeader(head, "content-encoding") ?? "identity") !== "identity";

/** Whether the response says that its body is an event stream, on any route and with any status. */
export function isDeclaredEventStream(head: ResponseHead): boolean {
  const type = findHeader(head, "content-type");
  return type !== undefined && type.startsWith(eventStreamType) && !isEncoded(head);
}

const isSuccess = ({ status }: ResponseHead) => status >= minSuccess && status <= maxSuccess;

/** Whether the body of a success ends with its connection, so that nothing in the head tells an empty one from one cut off. */
export function isEndUnmarked(head: ResponseHead, method: string): boolean {
  const hasBody = method !== "HEAD" && !bodylessStatuses.has(head.status);
  return hasBody && isSuccess(head) && head.framing === "close";
}

/** Whether a successful response on a streaming route is forwarded event by event, which it is without a content type too. */
export function isForwardedByEvents(head: ResponseHead): boolean {
  if (!isSuccess(head) || isEncoded(head)) return false;
  return findHeader(head, "content-type") === undefined || isDeclaredEventStream(head);
}
