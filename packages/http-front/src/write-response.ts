/** Writes responses. For a body that was cut, the connection is closed without the final chunk. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerResponse } from "@linkfall/ports";

/** Resolves when the response has been written to the connection or the caller has disconnected. */
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

/** Flushes the written data, then closes the connection without the final chunk. */
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
    // The caller has disconnected; the loop above checks the signal.
  }
}
