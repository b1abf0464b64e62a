/** Membership and usage data that boxes exchange. */
import type { Incarnation, Milliseconds, Offset } from "./identifiers.js";

/** Membership entry of one box, sent by the box itself and gossiped by others. */
export interface MemberEntry {
  readonly box: string;
  readonly incarnation: Incarnation;
  /** `host:port` of the peer protocol. */
  readonly peerAddress: string;
  /** `host:port` of the caller API. */
  readonly callerAddress: string;
  readonly domain: string;
  /** Incremented with each heartbeat; a member whose counter stops advancing is suspected. */
  readonly heartbeat: number;
  readonly leaving: boolean;
}

/** One entry of the platform's eventually consistent list of boxes. */
export interface ListedBox {
  readonly box: string;
  readonly peerAddress: string;
  readonly state: "live" | "leaving";
}

/** Summary of a box's state, sent with each heartbeat. */
export interface MemberSummary {
  readonly offset: Offset;
  /** Whether the box has loaded the state that it serves requests from. */
  readonly ready: boolean;
  /** Time since the box last read the log, by its own clock. */
  readonly logSilentMs: Milliseconds;
}

/** Smoothed request rate of one client account at one box. */
export interface AccountRate {
  readonly account: string;
  readonly requestsPerSecond: number;
}

/** Smoothed demand for one model at one box. */
export interface DemandSample {
  readonly model: string;
  readonly requestsPerSecond: number;
  /** Output tokens per second that these requests ask for. */
  readonly tokensPerSecond: number;
}
