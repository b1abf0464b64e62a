/** Writes responses. For a body that was cut, the connection is closed without the final chunk. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerResponse } from "@linkfall/ports";

/** Resolves when the response has been written to the connection or the caller has disconnected. */
export async function writeResponse(
  serverResponse: ServerResponse,
  response: CallerResponse,
  callerGone: AbortSignal,
): Promise<void> {
  if (response.body instanceof Uint8Array) {
    const length = { "content-length": String(response.body.length) };
    serverResponse.writeHead(response.status, { ...response.headers, ...length });
    serverResponse.end(response.body);
    return;
  }
  serverResponse.writeHead(response.status, response.headers);
  for await (const part of response.body) {
    if (callerGone.aborted) return;
    if (part.isLeft()) {
      await abortResponse(serverResponse);
      return;
    }
    const writable = serverResponse.write(part.extract());
    if (!writable) await waitForDrain(serverResponse, callerGone);
  }
  serverResponse.end();
}

/** Flushes the written data, then closes the connection without the final chunk. */
async function abortResponse(serverResponse: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    serverResponse.write("", () => resolve());
    serverResponse.once("close", () => resolve());
  });
  serverResponse.destroy();
}

async function waitForDrain(
  serverResponse: ServerResponse,
  callerGone: AbortSignal,
): Promise<void> {
  try {
    await once(serverResponse, "drain", { signal: callerGone });
  } catch {
    // The caller has disconnected; the loop above checks the signal.
  }
}
