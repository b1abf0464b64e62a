/** Tells when an answer has been read to its end, or its reader has gone. */
import type { BodyPart, CallerResponse } from "@linkfall/ports";

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

/** The same answer, with one call of `ended`: at once for a body that is there, else when it has been read. */
export function withBodyEnd(response: CallerResponse, ended: () => void): CallerResponse {
  if (!(response.body instanceof Uint8Array)) {
    return { ...response, body: withEnd(response.body, ended) };
  }
  ended();
  return response;
}
