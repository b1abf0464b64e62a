/** Heartbeats with single peers: what is told to them, and what is taken from their answers. */
import type { CrashBlame } from "@linkfall/crash-blame";
import type { Logger } from "@linkfall/logger";
import type { BlameExchange, Heartbeat, HeartbeatReply, PeerPort } from "@linkfall/ports";
import { parseState } from "@linkfall/state-fold";
import type { StateStore } from "@linkfall/state-store";
import type { Incarnation, MemberEntry, MemberSummary } from "@linkfall/types";

/** Most records of the log passed on in one answer. */
const maxRecordsPerReply = 64;

export interface ExchangeDependencies {
  readonly peers: PeerPort;
  readonly store: StateStore;
  readonly logger: Logger;
  readonly blame: CrashBlame;
  /** What this box tells of itself and of others. */
  createHeartbeat(): Heartbeat;
  /** Takes what a peer told. */
  applyHeartbeat(from: MemberEntry, members: readonly MemberEntry[], summary: MemberSummary): void;
}

export interface Exchange {
  /** Sends a heartbeat, one to an address at a time: a peer that does not answer holds up nobody else's. */
  sendHeartbeat(address: string): Promise<void>;
  /** Answers a peer's heartbeat. */
  receive(message: Heartbeat): HeartbeatReply;
}

/** Creates the exchange of one box. */
export function createExchange(input: ExchangeDependencies): Exchange {
  const { peers, store, logger, blame, createHeartbeat: message, applyHeartbeat: hear } = input;
  const beating = new Set<string>();
  /** What the box at an address has said of itself, and how far it has followed this one. */
  const readers = new Map<string, { readonly start: Incarnation; readonly followed: number }>();

  const blameFor = (reader: Incarnation, followed: number): BlameExchange => {
    const word = blame.changesSince(followed);
    const told = word.records.length > 0 ? word : undefined;
    return { word: told, of: reader, followed: blame.appliedSequence(reader) };
  };
  const takeBlame = (from: MemberEntry, told: BlameExchange | undefined) => {
    if (told?.word) blame.applyChanges(from.incarnation, told.word);
  };
  const blameAt = (address: string): BlameExchange => {
    const reader = readers.get(address);
    return blameFor(reader?.start ?? "", reader?.followed ?? 0);
  };

  const takeStateFrom = async (address: string) => {
    const fetched = await peers.fetchState(address);
    fetched
      .chain((answer) => parseState(answer.data))
      .ifRight((state) => {
        if (store.replace(state)) logger.event("restoredFromPeer", { offset: state.offset });
      });
  };

  const takeReply = async (address: string, reply: HeartbeatReply) => {
    hear(reply.from, reply.members, reply.summary);
    takeBlame(reply.from, reply.blame);
    const start = reply.from.incarnation;
    readers.set(address, { start, followed: reply.blame?.followed ?? 0 });
    store.ingest(reply.records);
    const { offset, ready } = reply.summary;
    const isBehind = offset > store.state().offset;
    if (isBehind && reply.records.length === 0) await takeStateFrom(address);
    // As far as a peer that serves: this is the state, whether or not the log can be read.
    if (ready && !isBehind && !store.ready()) {
      store.markReady();
      logger.event("restoredFromPeer", { offset: store.state().offset });
    }
  };

  return {
    async sendHeartbeat(address) {
      if (beating.has(address)) return;
      beating.add(address);
      const sent = await peers.heartbeat(address, { ...message(), blame: blameAt(address) });
      if (sent.isRight()) await takeReply(address, sent.unsafeCoerce());
      beating.delete(address);
    },
    receive(heartbeat) {
      hear(heartbeat.from, heartbeat.members, heartbeat.summary);
      takeBlame(heartbeat.from, heartbeat.blame);
      const own = message();
      const isAboutThis = heartbeat.blame?.of === own.from.incarnation;
      const followed = isAboutThis ? (heartbeat.blame?.followed ?? 0) : 0;
      return {
        ...own,
        blame: blameFor(heartbeat.from.incarnation, followed),
        records: store.recentAfter(heartbeat.summary.offset, maxRecordsPerReply),
      };
    },
  };
}
