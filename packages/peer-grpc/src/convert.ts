/** Between the generated messages and the types of the ports. */
import type {
  BlameExchange,
  Heartbeat,
  HeartbeatReply,
  RelayedReport,
  ReportsReply,
  ReportsRequest,
  UsageReport,
} from "@linkfall/ports";
import {
  engineRoles,
  type MemberEntry,
  type MemberSummary,
  type ReportPlacement,
  residentStates,
} from "@linkfall/types";
import type {
  BeatReply,
  BeatRequest,
  Member,
  Placement,
  RelayedReport as RelayedMessage,
  ReportsReply as ReportsReplyMessage,
  ReportsRequest as ReportsRequestMessage,
  Summary,
  UsageReport as UsageMessage,
} from "./generated/peer.js";

/** A message that lacks a part which every sender sets. */
export class IncompleteMessageError extends Error {}

function requireField<T>(part: T | undefined, name: string): T {
  if (part === undefined) throw new IncompleteMessageError(name);
  return part;
}

function toSummary(summary: Summary): MemberSummary {
  return {
    offset: summary.offset,
    ready: summary.ready,
    logSilentMs: summary.logSilentMs,
  };
}

function fromMembers(members: readonly MemberEntry[]): Member[] {
  return members.map((member) => ({ ...member }));
}

export function toBeatRequest(message: Heartbeat): BeatRequest {
  return {
    from: { ...message.from },
    members: fromMembers(message.members),
    summary: { ...message.summary },
    blame: message.blame === undefined ? "" : JSON.stringify(message.blame),
  };
}

function toBlame(text: string): BlameExchange | undefined {
  return text === "" ? undefined : (JSON.parse(text) as BlameExchange);
}

export function toUsageMessage(report: UsageReport): UsageMessage {
  return { from: report.from, demand: [...report.demand], accounts: [...report.accounts] };
}

/** @throws IncompleteMessage */
export function fromBeatRequest(message: BeatRequest): Heartbeat {
  return {
    from: requireField(message.from, "from"),
    members: message.members,
    summary: toSummary(requireField(message.summary, "summary")),
    blame: toBlame(message.blame),
  };
}

export function toBeatReply(reply: HeartbeatReply): BeatReply {
  return { ...toBeatRequest(reply), records: reply.records.map((record) => ({ ...record })) };
}

/** @throws IncompleteMessage */
export function fromBeatReply(message: BeatReply): HeartbeatReply {
  return { ...fromBeatRequest(message), records: message.records };
}

export function toReportsMessage(request: ReportsRequest): ReportsRequestMessage {
  return { ...request, pools: [...request.pools], held: [...request.held] };
}

/** One of the words that a text may hold. */
function parseLiteral<T extends string>(words: readonly T[], text: string): T {
  return requireField(
    words.find((word) => word === text),
    text,
  );
}

function fromPlacement(placement: ReportPlacement): Placement {
  const { residents, settledOrders } = placement;
  return { ...placement, residents: [...residents], settledOrders: [...settledOrders] };
}

function toPlacement(message: Placement): ReportPlacement {
  const { role, residents } = message;
  return {
    ...message,
    role: parseLiteral(engineRoles, role),
    residents: residents.map((copy) => ({
      ...copy,
      state: parseLiteral(residentStates, copy.state),
    })),
  };
}

export function toReportsReply(reply: ReportsReply): ReportsReplyMessage {
  const reports = reply.reports.map(({ load, ageMs, placementVersion, placement }) => ({
    load,
    ageMs,
    placementVersion,
    placement: placement && fromPlacement(placement),
  }));
  return { from: reply.from, reports };
}

function toRelayedReport(message: RelayedMessage): RelayedReport {
  const { ageMs, placementVersion, placement } = message;
  return {
    load: requireField(message.load, "load"),
    ageMs,
    placementVersion,
    placement: placement && toPlacement(placement),
  };
}

/** @throws IncompleteMessage */
export function fromReportsReply(message: ReportsReplyMessage): ReportsReply {
  return { from: message.from, reports: message.reports.map(toRelayedReport) };
}
