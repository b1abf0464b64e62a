/** Messages between boxes. */
import type { PeerUnreachable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type {
  AccountRate,
  BlameMessage,
  DemandSample,
  Incarnation,
  LogEntry,
  MemberEntry,
  MemberSummary,
  Milliseconds,
  Offset,
  ReportLoad,
  ReportPlacement,
} from "@linkfall/types";
import type { Either } from "purify-ts";
import type { CallerRequest, CallerResponse } from "./exchange.js";

/** A heartbeat: the members that the sender passes on, and a summary of its state. */
export interface Heartbeat {
  readonly from: MemberEntry;
  readonly members: readonly MemberEntry[];
  readonly summary: MemberSummary;
  readonly blame?: BlameExchange;
}

/** Blame records and acknowledgements exchanged with each heartbeat; see {@link BlameMessage}. */
export interface BlameExchange {
  /** Absent if the receiver is up to date. */
  readonly word?: BlameMessage;
  /** Incarnation of the receiver that `followed` refers to; empty if unknown. */
  readonly of: Incarnation;
  /** Position in the receiver's change sequence that the sender has reached. */
  readonly followed: number;
}

/** The reply to a heartbeat, with log records that the sender of the heartbeat lacks. */
export interface HeartbeatReply {
  readonly from: MemberEntry;
  readonly members: readonly MemberEntry[];
  readonly summary: MemberSummary;
  readonly blame?: BlameExchange;
  readonly records: readonly LogEntry[];
}

/** Serialized state of a peer at an offset of the log. */
export interface PeerState {
  readonly offset: Offset;
  /** Same format as in a snapshot. */
  readonly data: string;
}

/** Usage observed by one box, sent to the box that aggregates it. */
export interface UsageReport {
  readonly from: Incarnation;
  readonly demand: readonly DemandSample[];
  readonly accounts: readonly AccountRate[];
}

/** Request rates of the accounts in a report, summed over all boxes that report them. */
export type UsageTotals = readonly AccountRate[];

/** The newest placement of an engine that the requesting box has received from the other box. */
export interface HeldPlacement {
  readonly engine: string;
  readonly placementVersion: number;
}

/** Requests the engine reports that a box has read itself. */
export interface ReportsRequest {
  readonly from: Incarnation;
  readonly pools: readonly string[];
  /** Incarnation of the receiving box that `held` refers to; empty if there is none. */
  readonly heldFrom: Incarnation;
  readonly held: readonly HeldPlacement[];
}

/** An engine's report that was read by another box. */
export interface RelayedReport {
  readonly load: ReportLoad;
  /** Time since the box that read the report requested it, by that box's clock. */
  readonly ageMs: Milliseconds;
  /** Incremented by the box that read the report with each change of the placement. */
  readonly placementVersion: number;
  /** Omitted if the requesting box already has this version. */
  readonly placement?: ReportPlacement;
}

export interface ReportsReply {
  readonly from: Incarnation;
  readonly reports: readonly RelayedReport[];
}

export interface PeerPort {
  heartbeat(address: string, message: Heartbeat): Promise<Either<PeerUnreachable, HeartbeatReply>>;
  fetchState(address: string): Promise<Either<PeerUnreachable, PeerState>>;
  reportUsage(address: string, report: UsageReport): Promise<Either<PeerUnreachable, UsageTotals>>;
  readReports(
    address: string,
    request: ReportsRequest,
  ): Promise<Either<PeerUnreachable, ReportsReply>>;
  /** Forwards a caller's request to the box that is responsible for it. */
  forward(
    address: string,
    request: CallerRequest,
  ): Promise<Either<PeerUnreachable, CallerResponse>>;
}

/** Handles the messages of peers. */
export interface PeerHandler {
  heartbeat(message: Heartbeat): HeartbeatReply;
  fetchState(): PeerState;
  reportUsage(report: UsageReport): UsageTotals;
  readReports(request: ReportsRequest): ReportsReply;
  forward(request: CallerRequest): Promise<CallerResponse>;
}

export const peerPortName = serviceName<PeerPort>("peer-port");
