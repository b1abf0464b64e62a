/** Accounts for the bytes that a box holds, and decides in which order it gives way when they reach their bound. */
import type { Clock, Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { HeldBytes, HeldKind, ResponseListener, UnforwardedSource } from "./held-types.js";
import { createRecentDrops } from "./recent-drops.js";
import { createReleaseRate } from "./release-rate.js";
import { findLargestUnforwarded } from "./largest-unforwarded.js";

export * from "./held-types.js";

/**
 * Share of the bound from which targets are not read for callers that do not read. A quarter is left for request bodies and for
 * what is already on its way, so that new requests are not refused because of callers that are merely slow.
 */
const pauseShare = 0.75;
/** Share of the bound below which paused targets are read again, so that they do not alternate with each read. */
const resumeShare = 0.6;
/**
 * Share of the bound that may be kept of responses until more of them is known. The rest is for bodies and for callers that are
 * slow, whatever targets send.
 */
const unforwardedShare = 0.5;
/** Less than this gives way to nothing: events and answers of common sizes. A hundredth of a small bound. */
const minGiveWayBytes = 65_536;
/** Largest read from a connection: what a response that is read again may add before it can be paused. */
const readBytes = 65_536;
/**
 * A caller that took bytes within this time is reading: its response is not ended. Beyond the pauses of callers on slow links,
 * whose bytes are taken in steps of the socket's buffer, 16 KiB.
 */
const minSilentMs: Milliseconds = 1_000;
/** Limits of Retry-After: callers honour up to a third of their remaining time, and responses drain within seconds. */
const minRetryAfterMs: Milliseconds = 200;
const maxRetryAfterMs: Milliseconds = 5_000;
/** Retry-After is lengthened by up to this share at random, so that callers do not return together. */
const retrySpread = 0.5;

interface HeldBody {
  bytes: number;
  /** Clock reading at which bytes were last added. */
  addedAt: Milliseconds;
  /** Absent if the body gives way to no other one. */
  onDrop?: () => void;
}

interface HeldResponse extends ResponseListener {
  unreadBytes: number;
  unforwardedBytes: number;
  source?: UnforwardedSource;
  /** Clock reading at which the caller last took bytes, or fell behind. */
  takenAt: Milliseconds;
}

/** Creates the accounting of one box. */
export function createHeldBytes(clock: Clock, random: Random, maxBytes: number): HeldBytes {
  const bytes: Record<HeldKind, number> = {
    request_bodies: 0,
    unforwarded_responses: 0,
    unread_responses: 0,
  };
  /** Responses whose callers are behind, the one whose caller took nothing for longest first. */
  const behind = new Set<HeldResponse>();
  /** Responses whose targets are not read, the one that was paused first is resumed first. */
  const paused = new Set<HeldResponse>();
  /** Responses of which bytes are not forwarded yet. */
  const unforwarded = new Set<HeldResponse>();
  /** Bodies that give way to others. */
  const incomplete = new Set<HeldBody>();
  const released = createReleaseRate(clock);
  const recentDrops = createRecentDrops(clock);
  let total = 0;
  let endedResponses = 0;
  let refusedBodies = 0;
  let droppedBodies = 0;
  let droppedUnforwarded = 0;

  const change = (kind: HeldKind, by: number) => {
    bytes[kind] += by;
    total += by;
    if (by < 0) released.record(-by);
  };
  const resumePaused = () => {
    if (total >= maxBytes * resumeShare) return;
    let reads = Math.ceil((maxBytes * pauseShare - total) / readBytes);
    for (const response of paused) {
      if (reads-- <= 0) return;
      paused.delete(response);
      response.onRoom();
    }
  };
  const drop = (response: HeldResponse) => {
    behind.delete(response);
    paused.delete(response);
    unforwarded.delete(response);
    const { unreadBytes, unforwardedBytes } = response;
    response.unreadBytes = 0;
    response.unforwardedBytes = 0;
    change("unread_responses", -unreadBytes);
    change("unforwarded_responses", -unforwardedBytes);
  };
  /** Ends responses whose callers do not read until so many further bytes fit; false if they still do not. */
  const endUnread = (further: number): boolean => {
    const silentSince = clock.now() - minSilentMs;
    for (const response of behind) {
      if (total + further <= maxBytes || response.takenAt > silentSince) break;
      drop(response);
      endedResponses += 1;
      response.onEnd();
    }
    return total + further <= maxBytes;
  };

  const findUnforwarded = () =>
    findLargestUnforwarded(
      unforwarded,
      Math.min(minGiveWayBytes, maxBytes / 100),
      recentDrops.bytesOf,
    );
  /** Lets the largest unforwarded responses give way until so many further bytes fit; false if they still do not. */
  const dropUnforwarded = (further: number): boolean => {
    while (total + further > maxBytes) if (!giveWay()) return false;
    return true;
  };
  const giveWay = (): boolean => {
    const response = findUnforwarded();
    if (!response) return false;
    unforwarded.delete(response);
    if (response.source) recentDrops.record(response.source.target, response.unforwardedBytes);
    change("unforwarded_responses", -response.unforwardedBytes);
    response.unforwardedBytes = 0;
    droppedUnforwarded += 1;
    response.source?.onGiveWay();
    return true;
  };
  const boundUnforwarded = () => {
    while (bytes.unforwarded_responses > maxBytes * unforwardedShare) if (!giveWay()) return;
  };

  /**
   * Returns the incomplete body that gives way to `asking`, which would have `bytes`: the largest one of which nothing has arrived
   * for a while, otherwise the largest one, if it is larger than that.
   */
  const findDroppable = (asking: HeldBody, bytes: number): HeldBody | undefined => {
    const silentSince = clock.now() - minSilentMs;
    let silent: HeldBody | undefined;
    let largest: HeldBody | undefined;
    for (const body of incomplete) {
      if (body === asking) continue;
      if (body.bytes > (largest?.bytes ?? bytes)) largest = body;
      if (body.addedAt <= silentSince && body.bytes > (silent?.bytes ?? 0)) silent = body;
    }
    return silent ?? largest;
  };
  const release = (body: HeldBody) => {
    incomplete.delete(body);
    change("request_bodies", -body.bytes);
    body.bytes = 0;
  };
  /** Drops incomplete bodies until `further` bytes of `asking` fit. */
  const dropIncomplete = (asking: HeldBody, further: number): boolean => {
    while (total + further > maxBytes) {
      const body = findDroppable(asking, asking.bytes + further);
      if (!body) return false;
      release(body);
      droppedBodies += 1;
      body.onDrop?.();
    }
    return true;
  };
  return {
    holdBody() {
      const body: HeldBody = { bytes: 0, addedAt: clock.now() };
      const refuse = () => {
        refusedBodies += 1;
        return false;
      };
      return {
        hasRoom(further) {
          if (total + further <= maxBytes || endUnread(further)) return true;
          // An announced body drops no other one before its bytes arrive.
          const gives = findUnforwarded() ?? findDroppable(body, further);
          return gives !== undefined || refuse();
        },
        add(further) {
          const fits =
            total + further <= maxBytes ||
            endUnread(further) ||
            dropUnforwarded(further) ||
            dropIncomplete(body, further);
          if (!fits) return refuse();
          if (body.onDrop) incomplete.add(body);
          body.bytes += further;
          body.addedAt = clock.now();
          change("request_bodies", further);
          return true;
        },
        allowDrop: (onDrop) => void (body.onDrop = onDrop),
        complete() {
          body.onDrop = undefined;
          incomplete.delete(body);
        },
        close() {
          release(body);
          resumePaused();
        },
      };
    },
    holdResponse(listener) {
      const response: HeldResponse = {
        ...listener,
        unreadBytes: 0,
        unforwardedBytes: 0,
        takenAt: 0,
      };
      let closed = false;
      return {
        setUnread(unreadBytes) {
          if (closed) return true;
          const wasBehind = response.unreadBytes > 0;
          change("unread_responses", unreadBytes - response.unreadBytes);
          response.unreadBytes = unreadBytes;
          if (unreadBytes === 0) {
            behind.delete(response);
            paused.delete(response);
            resumePaused();
            return true;
          }
          if (!wasBehind) {
            response.takenAt = clock.now();
            behind.add(response);
          }
          if (total > maxBytes) endUnread(0);
          // It may have been the one to be ended.
          if (!behind.has(response)) return false;
          if (total < maxBytes * pauseShare) return true;
          paused.add(response);
          return false;
        },
        setUnforwarded(unforwardedBytes, source) {
          if (closed) return;
          const grows = unforwardedBytes > response.unforwardedBytes;
          change("unforwarded_responses", unforwardedBytes - response.unforwardedBytes);
          response.unforwardedBytes = unforwardedBytes;
          response.source = source;
          if (unforwardedBytes > 0) unforwarded.add(response);
          else unforwarded.delete(response);
          if (!grows) return;
          boundUnforwarded();
          if (total > maxBytes && !endUnread(0)) dropUnforwarded(0);
        },
        recordTaken() {
          response.takenAt = clock.now();
          // Insertion order is the order in which callers took bytes.
          if (behind.delete(response)) behind.add(response);
        },
        close() {
          if (closed) return;
          closed = true;
          drop(response);
          resumePaused();
        },
      };
    },
    retryAfterMs(further) {
      const excessBytes = Math.max(0, total + further - maxBytes);
      const expectedMs = excessBytes / released.bytesPerMs();
      const boundedMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, expectedMs));
      return boundedMs * (1 + retrySpread * random.nextFloat());
    },
    summary: () => ({
      bytes: { ...bytes },
      maxBytes,
      endedResponses,
      refusedBodies,
      droppedBodies,
      droppedUnforwarded,
      pausedResponses: paused.size,
    }),
  };
}
