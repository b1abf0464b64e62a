/** Boxes as they see one another. */
import type { Incarnation, Milliseconds, Offset } from "./identifiers.js";

/** What a box says of itself and passes on of others. */
export interface MemberEntry {
  readonly box: string;
  readonly incarnation: Incarnation;
  /** `host:port` of the peer protocol. */
  readonly peerAddress: string;
  /** `host:port` where callers connect. */
  readonly callerAddress: string;
  readonly domain: string;
  /** Grows by one with each heartbeat; a member whose counter stands still is suspected. */
  readonly heartbeat: number;
  readonly leaving: boolean;
}

/** One line of the platform's lagging list. */
export interface ListedBox {
  readonly box: string;
  readonly peerAddress: string;
  readonly state: "live" | "leaving";
}

/** A short summary that travels with each heartbeat. */
export interface MemberSummary {
  readonly offset: Offset;
  /** Whether the box has a state to serve from. */
  readonly ready: boolean;
  /** Time since the box last read the log, in its own clock. */
  readonly logSilentMs: Milliseconds;
}

/** Requests of one client account as one box saw them, smoothed. */
export interface AccountRate {
  readonly account: string;
  readonly requestsPerSecond: number;
}

/** Demand for one model as one box saw it. */
export interface DemandSample {
  readonly model: string;
  /** Requests a second, smoothed. */
  readonly requestsPerSecond: number;
  /** Output tokens a second that these requests ask for, smoothed. */
  readonly tokensPerSecond: number;
}
