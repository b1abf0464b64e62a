/** Bounds on bodies of responses that callers may never get: of rejections, and of failures, after which another target is tried. */
import type { ResponseMetadata } from "@linkfall/ports";
import type { ResponseHead } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";

export interface BodyBounds {
  readonly maxBytes: number;
  /** Maximum time from the head to the end of the body. */
  readonly maxMs: Milliseconds;
}

/** The head has settled what becomes of the request; the body is read only so that the connection ends in order. */
const rejectionBounds: BodyBounds = { maxBytes: 65_536, maxMs: 100 };
/** Beyond any page that describes an error, and beyond the time that a link of 10 Mbit/s takes for it. */
const errorBounds: BodyBounds = { maxBytes: 262_144, maxMs: 1_000 };
const minServerError = 500;

/** Returns the bounds on the body; undefined if the deadline and the bound on held bytes are its only ones. */
export function bodyBoundsOf(
  { status }: ResponseHead,
  { notRun }: ResponseMetadata,
): BodyBounds | undefined {
  if (notRun) return rejectionBounds;
  return status >= minServerError ? errorBounds : undefined;
}
