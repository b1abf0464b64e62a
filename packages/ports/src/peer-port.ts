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

/** One heartbeat: what the sender knows, and how far it has read. */
export interface Heartbeat {
  readonly from: MemberEntry;
  readonly members: readonly MemberEntry[];
  readonly summary: MemberSummary;
  readonly blame?: BlameExchange;
}

/** What two boxes tell each other of requests that end targets. */
export interface BlameExchange {
  /** Absent where the reader knows all. */
  readonly word?: BlameMessage;
  /** The start of the reader that `followed` is about; empty where it is not known. */
  readonly of: Incarnation;
  /** How far the sender has followed the reader. */
  readonly followed: number;
}

/** The answer to a heartbeat; it carries records that the sender lacks. */
export interface HeartbeatReply {
  readonly from: MemberEntry;
  readonly members: readonly MemberEntry[];
  readonly summary: MemberSummary;
  readonly blame?: BlameExchange;
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

/** The newest placement of an engine that a box has had from the box that it asks. */
export interface HeldPlacement {
  readonly engine: string;
  readonly placementVersion: number;
}

/** Asks a box for the reports that it has read itself. */
export interface ReportsRequest {
  readonly from: Incarnation;
  readonly pools: readonly string[];
  /** The start of the asked box that `held` is about; empty when there is none. */
  readonly heldFrom: Incarnation;
  readonly held: readonly HeldPlacement[];
}

/** An engine's report that another box has read. */
export interface RelayedReport {
  readonly load: ReportLoad;
  /** Time since the report was asked for, by the clock of the box that read it. */
  readonly ageMs: Milliseconds;
  /** Counts the changes of the placement, in the box that read it. */
  readonly placementVersion: number;
  /** Left out when the asking box holds this version. */
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
  readReports(request: ReportsRequest): ReportsReply;
  forward(request: CallerRequest): Promise<CallerResponse>;
}

export const peerPortName = serviceName<PeerPort>("peer-port");
