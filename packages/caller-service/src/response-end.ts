/** Detects the end of a response body. */
import type { BodyPart, CallerResponse } from "@linkfall/ports";

/** Yields the body's parts and calls `onEnd` when it is exhausted or its reader stops early. */
async function* notifyAtEnd(
  body: AsyncIterable<BodyPart>,
  onEnd: () => void,
): AsyncGenerator<BodyPart> {
  try {
    yield* body;
  } finally {
    onEnd();
  }
}

/**
 * Returns an equivalent response that calls `onEnd` once: immediately for a buffered body, otherwise
 * when the stream has been read or abandoned.
 */
export function withBodyEnd(response: CallerResponse, onEnd: () => void): CallerResponse {
  if (!(response.body instanceof Uint8Array)) {
    return { ...response, body: notifyAtEnd(response.body, onEnd) };
  }
  onEnd();
  return response;
}
