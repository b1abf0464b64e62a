/** Writes an answer. One that was cut is ended by breaking the connection, never by a clean end. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerResponse } from "@linkfall/ports";

/** Resolves when the answer has been handed to the connection, or the caller has gone. */
export async function writeResponse(
  sink: ServerResponse,
  response: CallerResponse,
  gone: AbortSignal,
): Promise<void> {
  if (response.body instanceof Uint8Array) {
    const length = { "content-length": String(response.body.length) };
    sink.writeHead(response.status, { ...response.headers, ...length });
    sink.end(response.body);
    return;
  }
  sink.writeHead(response.status, response.headers);
  for await (const part of response.body) {
    if (gone.aborted) return;
    if (part.isLeft()) {
      await breakOff(sink);
      return;
    }
    const more = sink.write(part.extract());
    if (!more) await drained(sink, gone);
  }
  sink.end();
}

/** Lets what was written leave, then closes the connection without an end marker. */
async function breakOff(sink: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    sink.write("", () => resolve());
    sink.once("close", () => resolve());
  });
  sink.destroy();
}

async function drained(sink: ServerResponse, gone: AbortSignal): Promise<void> {
  try {
    await once(sink, "drain", { signal: gone });
  } catch {
    // The caller has gone; the loop above sees it.
  }
}
