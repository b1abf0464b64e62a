/** What a box holds for callers and targets, and how each part of it is told of changes. */
import type { Milliseconds } from "@linkfall/types";

/**
 * What bytes are held for: bodies of requests, parts of responses that are not forwarded yet, and responses that wait for
 * their callers.
 */
export const heldKinds = ["request_bodies", "unforwarded_responses", "unread_responses"] as const;
export type HeldKind = (typeof heldKinds)[number];

/** Callbacks of a response that is held. */
export interface ResponseListener {
  /** There is room to read on from the target, after `setUnread` returned false. */
  onRoom(): void;
  /** The response has to be ended; its bytes are to be dropped. */
  onEnd(): void;
}

/** Where bytes come from that are not forwarded yet. */
export interface UnforwardedSource {
  /** Address of the target. */
  readonly target: string;
  /** The bytes count no more, and have to be forwarded or dropped. */
  onGiveWay(): void;
}

/** The bytes of one response. */
export interface ResponseHold {
  /** Sets the bytes that the caller has not taken yet; false if no more of them are to be read from the target. */
  setUnread(bytes: number): boolean;
  /** Sets the bytes that are kept until more of the response is known; without a source they give way to no others. */
  setUnforwarded(bytes: number, source?: UnforwardedSource): void;
  /** The caller has taken some bytes. */
  recordTaken(): void;
  close(): void;
}

/** The bytes of one request body. */
export interface BodyHold {
  /** Whether so many bytes would find room now; counts a refusal if not. */
  hasRoom(bytes: number): boolean;
  /** Adds bytes; false if there is no room, in which case nothing was added. */
  add(bytes: number): boolean;
  /**
   * Lets the body give way to others until it is complete: `onDrop` is called when its bytes have been dropped, after which nothing
   * is to be added.
   */
  allowDrop(onDrop: () => void): void;
  /** The body is complete: it gives way to no other one from here on. */
  complete(): void;
  close(): void;
}

export interface HeldBytesSummary {
  readonly bytes: Readonly<Record<HeldKind, number>>;
  readonly maxBytes: number;
  /** Responses that were ended to stay within the bound. */
  readonly endedResponses: number;
  /** Request bodies that found no room. */
  readonly refusedBodies: number;
  /** Incomplete request bodies that were dropped to make room for others. */
  readonly droppedBodies: number;
  /** Times that bytes gave way which were kept until more of their response is known. */
  readonly droppedUnforwarded: number;
  /** Targets that are not read now since the callers of their responses do not read. */
  readonly pausedResponses: number;
}

export interface HeldBytes {
  holdBody(): BodyHold;
  holdResponse(listener: ResponseListener): ResponseHold;
  /** Time after which so many bytes are expected to find room. */
  retryAfterMs(bytes: number): Milliseconds;
  summary(): HeldBytesSummary;
}
