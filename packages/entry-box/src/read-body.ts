/** Reads the complete body of a request, within limits on its size and time. */
import type { IncomingMessage } from "node:http";
import { createChunkBuffer, deliverReads } from "@linkfall/chunk-buffer";
import type { BodyHold } from "@linkfall/held-bytes";
import type { Clock } from "@linkfall/kernel";
import { maxFramedBytes } from "@linkfall/response-bounds";
import type { Milliseconds } from "@linkfall/types";

export type ReadBody =
  | { readonly kind: "complete"; readonly bytes: Buffer }
  | { readonly kind: "too_large" }
  /** The chunk sizes, extensions and trailers take more bytes than a body of its size may need. */
  | { readonly kind: "too_much_framing" }
  /** The body is not complete though the time for the whole request has passed. */
  | { readonly kind: "too_late" }
  /** The box holds too many bytes to take this body, or has dropped it for others. */
  | { readonly kind: "no_room"; readonly bytes: number }
  /** The caller disconnected before the end of the body. */
  | { readonly kind: "aborted" };

export interface BodyLimits {
  readonly maxBytes: number;
  /** Time from now in which the whole request has to be answered; called for bodies that come slowly only. */
  timeLimitMs(): Milliseconds;
  /** Room for the body; absent if there is no bound. */
  readonly hold?: BodyHold;
}

/** A body that takes longer than this is slow: most are complete before the time limit of their request is of interest. */
const slowBodyMs: Milliseconds = 100;
/** Bytes of a connection that may belong to the head of the request or to requests after it. */
const maxOtherBytes = 131_072;

/** Calls `handleLate` if the body has not ended within the time limit of its request. */
function watchTimeLimit(
  clock: Clock,
  { timeLimitMs }: Pick<BodyLimits, "timeLimitMs">,
  handleLate: () => void,
): () => void {
  let cancel = clock.after(slowBodyMs, () => {
    cancel = clock.after(Math.max(0, timeLimitMs() - slowBodyMs), handleLate);
  });
  return () => cancel();
}

/** Resolves when the body is complete, exceeds a limit, finds no room in `hold`, or the caller disconnects. */
export function readBody(
  clock: Clock,
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<ReadBody> {
  const { maxBytes, hold } = limits;
  const { socket } = message;
  const otherBytes = socket.bytesRead;
  return new Promise((settle) => {
    const resolve = (result: ReadBody) => {
      cancelTimeLimit();
      settle(result);
    };
    const body = createChunkBuffer();
    let sizeBytes = 0;
    let refused = false;
    const cancelTimeLimit = watchTimeLimit(clock, limits, () => refuse({ kind: "too_late" }));
    const declaredBytes = Number(message.headers["content-length"] ?? 0);
    if (declaredBytes > maxBytes) return resolve({ kind: "too_large" });
    // A body of known length is refused before any of it is read. Its bytes count as they arrive, so that callers that announce
    // bodies and send nothing take no room from others.
    if (hold && declaredBytes > 0 && !hold.hasRoom(declaredBytes))
      return resolve({ kind: "no_room", bytes: declaredBytes });
    const refuse = (result: ReadBody) => {
      if (refused) return;
      refused = true;
      body.clear();
      resolve(result);
    };
    hold?.allowDrop(() => refuse({ kind: "no_room", bytes: Math.max(declaredBytes, sizeBytes) }));
    const onBytes = (bytes: Buffer) => {
      sizeBytes += bytes.length;
      if (refused) return;
      if (sizeBytes > maxBytes) return refuse({ kind: "too_large" });
      if (socket.bytesRead - otherBytes > maxOtherBytes + maxFramedBytes(sizeBytes))
        return refuse({ kind: "too_much_framing" });
      if (hold && !hold.add(bytes.length)) return refuse({ kind: "no_room", bytes: bytes.length });
      body.append(bytes);
    };
    const onEnd = () => {
      if (!message.complete) return resolve({ kind: "aborted" });
      hold?.complete();
      resolve({ kind: "complete", bytes: body.take() });
    };
    deliverReads(message, { onBytes, onEnd }, { takesTurns: true });
    message.once("error", () => resolve({ kind: "aborted" }));
    message.once("close", () => resolve({ kind: "aborted" }));
  });
}
