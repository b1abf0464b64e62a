/** Between the generated messages and the types of the ports. */
import type { Heartbeat, HeartbeatReply, UsageReport } from "@linkfall/ports";
import type { MemberEntry, MemberSummary } from "@linkfall/types";
import type {
  BeatReply,
  BeatRequest,
  Member,
  Summary,
  UsageReport as UsageMessage,
} from "./generated/peer.js";

/** A message that lacks a part which every sender sets. */
export class IncompleteMessage extends Error {}

function present<T>(part: T | undefined, name: string): T {
  if (part === undefined) throw new IncompleteMessage(name);
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
  };
}

export function toUsageMessage(report: UsageReport): UsageMessage {
  return { from: report.from, demand: [...report.demand], accounts: [...report.accounts] };
}

/** @throws IncompleteMessage */
export function fromBeatRequest(message: BeatRequest): Heartbeat {
  return {
    from: present(message.from, "from"),
    members: message.members,
    summary: toSummary(present(message.summary, "summary")),
  };
}

export function toBeatReply(reply: HeartbeatReply): BeatReply {
  return { ...toBeatRequest(reply), records: reply.records.map((record) => ({ ...record })) };
}

/** @throws IncompleteMessage */
export function fromBeatReply(message: BeatReply): HeartbeatReply {
  return { ...fromBeatRequest(message), records: message.records };
}
