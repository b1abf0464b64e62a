/** Messages between boxes. */
import type { PeerUnreachable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type {
  AccountRate,
  DemandSample,
  Incarnation,
  LogEntry,
  MemberEntry,
  MemberSummary,
  Offset,
} from "@linkfall/types";
import type { Either } from "purify-ts";
import type { CallerRequest, CallerResponse } from "./exchange.js";

/** One heartbeat: what the sender knows, and how far it has read. */
export interface Heartbeat {
  readonly from: MemberEntry;
  readonly members: readonly MemberEntry[];
  readonly summary: MemberSummary;
}

/** The answer to a heartbeat; it carries records that the sender lacks. */
export interface HeartbeatReply {
  readonly from: MemberEntry;
  readonly members: readonly MemberEntry[];
  readonly summary: MemberSummary;
  readonly records: readonly LogEntry[];
}

/** Folded state as one peer holds it. */
export interface PeerState {
  readonly offset: Offset;
  /** Serialised as in a snapshot. */
  readonly data: string;
}

/** Usage that one box has seen, for the box that needs it. */
export interface UsageReport {
  readonly from: Incarnation;
  readonly demand: readonly DemandSample[];
  readonly accounts: readonly AccountRate[];
}

/** Rates of the accounts of a report, over all boxes that report them. */
export type UsageTotals = readonly AccountRate[];

export interface PeerPort {
  heartbeat(address: string, message: Heartbeat): Promise<Either<PeerUnreachable, HeartbeatReply>>;
  fetchState(address: string): Promise<Either<PeerUnreachable, PeerState>>;
  reportUsage(address: string, report: UsageReport): Promise<Either<PeerUnreachable, UsageTotals>>;
  /** Passes a caller's request to the box that must decide on it. */
  forward(
    address: string,
    request: CallerRequest,
  ): Promise<Either<PeerUnreachable, CallerResponse>>;
}

/** What a box answers to its peers. */
export interface PeerHandler {
  heartbeat(message: Heartbeat): HeartbeatReply;
  fetchState(): PeerState;
  reportUsage(report: UsageReport): UsageTotals;
  forward(request: CallerRequest): Promise<CallerResponse>;
}

export const peerPortName = serviceName<PeerPort>("peer-port");
