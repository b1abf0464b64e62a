/** Heartbeats with single peers: what is told to them, and what is taken from their answers. */
import type { Logger } from "@linkfall/logger";
import type { Heartbeat, HeartbeatReply, PeerPort } from "@linkfall/ports";
import { parseState } from "@linkfall/state-fold";
import type { StateStore } from "@linkfall/state-store";
import type { MemberEntry, MemberSummary } from "@linkfall/types";

/** Most records of the log passed on in one answer. */
const recordsPerReply = 64;

export interface ExchangeInput {
  readonly peers: PeerPort;
  readonly store: StateStore;
  readonly logger: Logger;
  /** What this box tells of itself and of others. */
  message(): Heartbeat;
  /** Takes what a peer told. */
  hear(from: MemberEntry, members: readonly MemberEntry[], summary: MemberSummary): void;
}

export interface Exchange {
  /** Sends a heartbeat, one to an address at a time: a peer that does not answer holds up nobody else's. */
  beat(address: string): Promise<void>;
  /** Answers a peer's heartbeat. */
  receive(message: Heartbeat): HeartbeatReply;
}

/** Creates the exchange of one box. */
export function createExchange({ peers, store, logger, message, hear }: ExchangeInput): Exchange {
  const beating = new Set<string>();

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
    async beat(address) {
      if (beating.has(address)) return;
      beating.add(address);
      const sent = await peers.heartbeat(address, message());
      if (sent.isRight()) await takeReply(address, sent.unsafeCoerce());
      beating.delete(address);
    },
    receive(heartbeat) {
      hear(heartbeat.from, heartbeat.members, heartbeat.summary);
      return {
        ...message(),
        records: store.recentAfter(heartbeat.summary.offset, recordsPerReply),
      };
    },
  };
}
