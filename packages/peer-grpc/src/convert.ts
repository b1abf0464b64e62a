/** Converts between the generated messages and the types of the ports. */
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
import { z } from "zod";
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

/** Thrown for a message that lacks a required field or holds an invalid value in it. */
export class IncompleteMessageError extends Error {}

function requireField<T>(value: T | undefined, name: string): T {
  if (value === undefined) throw new IncompleteMessageError(name);
  return value;
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

const blameSchema = z.object({
  word: z
    .object({ number: z.number(), records: z.array(z.looseObject({ kind: z.string() })) })
    .optional(),
  of: z.string(),
  followed: z.number(),
});

function parseBlame(text: string): BlameExchange | undefined {
  try {
    return blameSchema.safeParse(JSON.parse(text)).data as BlameExchange | undefined;
  } catch {
    return undefined;
  }
}

function toBlame(text: string): BlameExchange | undefined {
  return text === "" ? undefined : requireField(parseBlame(text), "blame");
}

export function toUsageMessage(report: UsageReport): UsageMessage {
  return { from: report.from, demand: [...report.demand], accounts: [...report.accounts] };
}

/** @throws IncompleteMessageError */
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

/** @throws IncompleteMessageError */
export function fromBeatReply(message: BeatReply): HeartbeatReply {
  return { ...fromBeatRequest(message), records: message.records };
}

export function toReportsMessage(request: ReportsRequest): ReportsRequestMessage {
  return { ...request, pools: [...request.pools], held: [...request.held] };
}

/** Narrows a text to one of the allowed literals. */
function parseLiteral<T extends string>(literals: readonly T[], text: string): T {
  return requireField(
    literals.find((literal) => literal === text),
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
    residents: residents.map((resident) => ({
      ...resident,
      state: parseLiteral(residentStates, resident.state),
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

/** @throws IncompleteMessageError */
export function fromReportsReply(message: ReportsReplyMessage): ReportsReply {
  return { from: message.from, reports: message.reports.map(toRelayedReport) };
}
