/** Frames of a relayed exchange: one byte for the kind, then JSON or raw bytes. */
import type { TargetUnreachable } from "@linkfall/errors";
import { findUnwritableHeader } from "@linkfall/header-syntax";
import type { RawHeaders } from "@linkfall/ports";
import type { ResponseHead } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import { z } from "zod";

/** The request of a relayed exchange, without its body. */
export interface OpenFrame {
  /** Id of the target. */
  readonly target: string;
  /** Start of the target's incarnation, in Unix milliseconds; absent if it is not known. */
  readonly born?: number;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly bodyBytes: number;
  readonly connectTimeoutMs: Milliseconds;
}

export type Frame =
  /** The first frame of the caller's box. */
  | { readonly kind: "open"; readonly open: OpenFrame }
  /** A part of the request body. */
  | { readonly kind: "body"; readonly bytes: Buffer }
  /** The body is complete; the request may be sent. */
  | { readonly kind: "send" }
  /** Response bytes that have been passed on since the last such frame. */
  | { readonly kind: "consumed"; readonly bytes: number }
  /** The relay is connected to the target and has sent nothing yet. */
  | { readonly kind: "ready" }
  | { readonly kind: "head"; readonly head: ResponseHead }
  /** A part of the response body. */
  | { readonly kind: "bytes"; readonly bytes: Buffer }
  | { readonly kind: "complete" }
  | { readonly kind: "failure"; readonly failure: TargetUnreachable };

/** First byte of a frame, by its kind. */
const kindCodes = {
  open: 1,
  body: 2,
  send: 3,
  consumed: 4,
  ready: 5,
  head: 6,
  bytes: 7,
  complete: 8,
  failure: 9,
} as const satisfies Record<Frame["kind"], number>;

/** Names and values in turn. */
const headersSchema = z
  .array(z.string())
  .refine((headers) => headers.length % 2 === 0, "a name without a value");
const openSchema = z.object({
  target: z.string(),
  born: z.number().optional(),
  method: z.string().regex(/^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/),
  path: z.string().regex(/^[\x21-\xff]*$/),
  headers: headersSchema.refine(
    (headers) => findUnwritableHeader(headers) === undefined,
    "a header that can't be written",
  ),
  bodyBytes: z.number(),
  connectTimeoutMs: z.number(),
});
const headSchema = z.object({
  status: z.number(),
  headers: headersSchema,
  // Relays of an earlier version may not name it.
  framing: z.enum(["length", "chunked", "close"]).default("close"),
});

const json = (value: unknown) => Buffer.from(JSON.stringify(value));

function payloadOf(frame: Frame): Buffer {
  switch (frame.kind) {
    case "open":
      return json(frame.open);
    case "head":
      return json(frame.head);
    case "failure":
      return json(frame.failure);
    case "consumed":
      return json(frame.bytes);
    case "body":
    case "bytes":
      return frame.bytes;
    case "send":
    case "ready":
    case "complete":
      return Buffer.alloc(0);
  }
}

/** Encodes a frame. */
export function encodeFrame(frame: Frame): Buffer {
  return Buffer.concat([Buffer.of(kindCodes[frame.kind]), payloadOf(frame)]);
}

function parse(payload: Buffer): unknown {
  try {
    return JSON.parse(payload.toString("utf8"));
  } catch {
    return undefined;
  }
}

function decodeJson(code: number, payload: Buffer): Frame | undefined {
  const value = parse(payload);
  if (code === kindCodes.consumed && typeof value === "number")
    return { kind: "consumed", bytes: value };
  if (code === kindCodes.open) {
    const open = openSchema.safeParse(value).data;
    return open && { kind: "open", open };
  }
  if (code === kindCodes.head) {
    const head = headSchema.safeParse(value).data;
    return head && { kind: "head", head };
  }
  if (typeof value !== "object" || value === null) return undefined;
  if (code === kindCodes.failure) return { kind: "failure", failure: value as TargetUnreachable };
  return undefined;
}

/** Decodes a frame; undefined if it is malformed or of an unknown kind. */
export function decodeFrame(message: Buffer): Frame | undefined {
  const payload = message.subarray(1);
  switch (message[0]) {
    case kindCodes.body:
      return { kind: "body", bytes: payload };
    case kindCodes.bytes:
      return { kind: "bytes", bytes: payload };
    case kindCodes.send:
      return { kind: "send" };
    case kindCodes.ready:
      return { kind: "ready" };
    case kindCodes.complete:
      return { kind: "complete" };
    default:
      return decodeJson(message[0], payload);
  }
}
