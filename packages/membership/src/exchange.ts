/** Exchanges heartbeats with single peers and applies their content. */
import type { CrashBlame } from "@linkfall/crash-blame";
import type { Logger } from "@linkfall/logger";
import type { BlameExchange, Heartbeat, HeartbeatReply, PeerPort } from "@linkfall/ports";
import { parseState } from "@linkfall/state-fold";
import type { StateStore } from "@linkfall/state-store";
import type { Incarnation, MemberEntry, MemberSummary } from "@linkfall/types";

/** Maximum number of log records in one reply. */
const maxRecordsPerReply = 64;

export interface ExchangeDependencies {
  readonly peers: PeerPort;
  readonly store: StateStore;
  readonly logger: Logger;
  readonly blame: CrashBlame;
  /** Creates a heartbeat with this box's own state and its view of others. */
  createHeartbeat(): Heartbeat;
  /** Applies a peer's heartbeat. */
  applyHeartbeat(from: MemberEntry, members: readonly MemberEntry[], summary: MemberSummary): void;
}

export interface Exchange {
  /** Sends a heartbeat unless one to the same address is still pending. */
  sendHeartbeat(address: string): Promise<void>;
  /** Applies a peer's heartbeat and returns the reply. */
  receive(message: Heartbeat): HeartbeatReply;
}

/** Creates the exchange of one box. */
export function createExchange(dependencies: ExchangeDependencies): Exchange {
  const { peers, store, logger, blame, createHeartbeat, applyHeartbeat } = dependencies;
  const pendingAddresses = new Set<string>();
  /** Incarnation of the box at an address, and the position up to which it has received this box's crash records. */
  const peerStates = new Map<
    string,
    { readonly incarnation: Incarnation; readonly followed: number }
  >();

  const blameFor = (recipient: Incarnation, followed: number): BlameExchange => {
    const message = blame.changesSince(followed);
    const newRecords = message.records.length > 0 ? message : undefined;
    return { word: newRecords, of: recipient, followed: blame.appliedSequence(recipient) };
  };
  const applyBlame = (from: MemberEntry, received: BlameExchange | undefined) => {
    if (received?.word) blame.applyChanges(from.incarnation, received.word);
  };
  const blameAt = (address: string): BlameExchange => {
    const recipient = peerStates.get(address);
    return blameFor(recipient?.incarnation ?? "", recipient?.followed ?? 0);
  };

  const fetchStateFrom = async (address: string) => {
    const fetched = await peers.fetchState(address);
    fetched
      .chain((answer) => parseState(answer.data))
      .ifRight((state) => {
        if (store.replace(state)) logger.event("restoredFromPeer", { offset: state.offset });
      });
  };

  const applyReply = async (address: string, reply: HeartbeatReply) => {
    applyHeartbeat(reply.from, reply.members, reply.summary);
    applyBlame(reply.from, reply.blame);
    const incarnation = reply.from.incarnation;
    peerStates.set(address, { incarnation, followed: reply.blame?.followed ?? 0 });
    store.ingest(reply.records);
    const { offset, ready } = reply.summary;
    const isBehind = offset > store.state().offset;
    if (isBehind && reply.records.length === 0) await fetchStateFrom(address);
    // The state is complete once it is as recent as that of a ready peer, even if the log is unreachable.
    if (ready && !isBehind && !store.ready()) {
      store.markReady();
      logger.event("restoredFromPeer", { offset: store.state().offset });
    }
  };

  return {
    async sendHeartbeat(address) {
      if (pendingAddresses.has(address)) return;
      pendingAddresses.add(address);
      const sent = await peers.heartbeat(address, {
        ...createHeartbeat(),
        blame: blameAt(address),
      });
      if (sent.isRight()) await applyReply(address, sent.unsafeCoerce());
      pendingAddresses.delete(address);
    },
    receive(heartbeat) {
      applyHeartbeat(heartbeat.from, heartbeat.members, heartbeat.summary);
      applyBlame(heartbeat.from, heartbeat.blame);
      const own = createHeartbeat();
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
