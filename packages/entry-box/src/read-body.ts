/** Reads the complete body of a request, up to a size limit. */
import type { IncomingMessage } from "node:http";

export type ReadBody =
  | { readonly kind: "complete"; readonly bytes: Buffer }
  | { readonly kind: "too_large" }
  /** The caller disconnected before the end of the body. */
  | { readonly kind: "aborted" };

/** Resolves when the body is complete, exceeds `maxBytes`, or the caller disconnects. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<ReadBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const declaredBytes = Number(message.headers["content-length"] ?? 0);
    if (declaredBytes > maxBytes) return resolve({ kind: "too_large" });
    message.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return resolve({ kind: "too_large" });
      chunks.push(chunk);
    });
    message.once("end", () => {
      if (message.complete) resolve({ kind: "complete", bytes: Buffer.concat(chunks) });
      else resolve({ kind: "aborted" });
    });
    message.once("error", () => resolve({ kind: "aborted" }));
    message.once("close", () => resolve({ kind: "aborted" }));
  });
}
