/** Reads the body of a caller's request whole, within its limit. */
import type { IncomingMessage } from "node:http";

export type ReadBody =
  | { readonly kind: "whole"; readonly bytes: Buffer }
  | { readonly kind: "too_large" }
  /** The caller went before the end. */
  | { readonly kind: "cut" };

/** Resolves when the body is whole, too large, or cut. */
export function readBody(message: IncomingMessage, limitBytes: number): Promise<ReadBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const declared = Number(message.headers["content-length"] ?? 0);
    if (declared > limitBytes) return resolve({ kind: "too_large" });
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) return resolve({ kind: "too_large" });
      chunks.push(chunk);
    });
    message.once("end", () => {
      if (message.complete) resolve({ kind: "whole", bytes: Buffer.concat(chunks) });
      else resolve({ kind: "cut" });
    });
    message.once("error", () => resolve({ kind: "cut" }));
    message.once("close", () => resolve({ kind: "cut" }));
  });
}
