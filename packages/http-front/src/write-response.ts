/** Writes an answer. One that was cut is ended by breaking the connection, never by a clean end. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerResponse } from "@linkfall/ports";

/** Resolves when the answer has been handed to the connection, or the caller has gone. */
export async function writeResponse(
  sink: ServerResponse,
  response: CallerResponse,
  callerGone: AbortSignal,
): Promise<void> {
  if (response.body instanceof Uint8Array) {
    const length = { "content-length": String(response.body.length) };
    sink.writeHead(response.status, { ...response.headers, ...length });
    sink.end(response.body);
    return;
  }
  sink.writeHead(response.status, response.headers);
  for await (const part of response.body) {
    if (callerGone.aborted) return;
    if (part.isLeft()) {
      await abortResponse(sink);
      return;
    }
    const writable = sink.write(part.extract());
    if (!writable) await waitForDrain(sink, callerGone);
  }
  sink.end();
}

/** Lets what was written leave, then closes the connection without an end marker. */
async function abortResponse(sink: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    sink.write("", () => resolve());
    sink.once("close", () => resolve());
  });
  sink.destroy();
}

async function waitForDrain(sink: ServerResponse, callerGone: AbortSignal): Promise<void> {
  try {
    await once(sink, "drain", { signal: callerGone });
  } catch {
    // The caller has gone; the loop above sees it.
  }
}
