/** Membership of boxes, maintained by heartbeats that also carry log positions and records of crashes. */
import { settingsName } from "@linkfall/config";
import { crashBlameName } from "@linkfall/crash-blame";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { logFollowerName } from "@linkfall/log-follower";
import { loggerName } from "@linkfall/logger";
import { incarnationName } from "@linkfall/log-writer";
import {
  boxListPortName,
  type Heartbeat,
  type HeartbeatReply,
  peerPortName,
  type PeerState,
} from "@linkfall/ports";
import { serialiseState } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import type {
  Incarnation,
  MemberEntry,
  MemberSummary,
  Milliseconds,
  Offset,
} from "@linkfall/types";
import { createElectorate } from "./electorate.js";
import { createExchange } from "./exchange.js";
import { createPeerSummaries, type PeerSummaries } from "./peer-summaries.js";
import { isIsolated } from "./isolation.js";
import { createMemberTable, type Member, type MemberTable } from "./member-table.js";
import { createPages } from "./pages.js";
import { createPlatformList } from "./platform-list.js";
import { selectRoundPeers } from "./round-peers.js";
import { createSuspicionMonitor } from "./suspicion.js";

/** Rounds for which a summary counts as recent. */
const recentRounds = 5;

/** How many of the boxes in recent contact have read the log up to an offset. */
export interface ReadProgress {
  /** Boxes in recent contact, including this one. */
  readonly boxes: number;
  /** Boxes among these that have read up to the offset. */
  readonly reached: number;
}

export interface Membership {
  self(): MemberEntry;
  /** This box, then the members with a recent heartbeat, including leaving ones. */
  alive(): readonly MemberEntry[];
  /** Boxes to advertise to callers: alive, and leaving neither by their own entry nor by the platform's list. */
  serving(): readonly MemberEntry[];
  known(): readonly Member[];
  find(incarnation: Incarnation): MemberEntry | undefined;
  /** Names of targets marked as leaving in the platform's list. */
  leavingTargets(): ReadonlySet<string>;
  /** Marks this box as leaving; irreversible. */
  leave(): void;
  /** Whether this box is isolated and must not serve. */
  isolated(): boolean;
  /** Counts the boxes in recent contact that have read the log up to an offset. */
  readProgress(offset: Offset): ReadProgress;
  /** Sends a heartbeat to each peer whose latest summary is behind the offset. */
  pollLaggingPeers(offset: Offset): void;
  /** Applies a peer's heartbeat and returns the reply. */
  receive(message: Heartbeat): HeartbeatReply;
  stateForPeer(): PeerState;
}

export const membershipName = serviceName<Membership>("membership");

/** The known members, and the latest summaries of those in direct contact. */
interface KnownBoxes {
  readonly table: MemberTable;
  readonly summaries: PeerSummaries;
  /** Logs each member that has become suspected. */
  logSuspected(): void;
}

function createKnownBoxes(kernel: Kernel): KnownBoxes {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const { heartbeat_ms, suspect_ms, forget_ms } = kernel.find(settingsName).membership;
  const summaries = createPeerSummaries(clock, recentRounds * heartbeat_ms);
  const suspicion = createSuspicionMonitor(
    () => table.known(),
    (member) => logger.event("memberSuspected", { member }),
  );
  const timeouts = { suspectAfterMs: suspect_ms, removeAfterMs: forget_ms };
  const table = createMemberTable(kernel.find(incarnationName), timeouts, {
    joined: ({ incarnation }) => logger.event("memberJoined", { member: incarnation }),
    gone({ incarnation }) {
      summaries.forget(incarnation);
      suspicion.forget(incarnation);
      logger.event("memberGone", { member: incarnation });
    },
  });
  const logSuspected = () =>
    suspicion.update(table.alive(clock.now()).map(({ incarnation }) => incarnation));
  return { table, summaries, logSuspected };
}

/** Tracks how recently this box and its peers have read the log. */
function createLogContact(kernel: Kernel, summaries: PeerSummaries) {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const follower = kernel.find(logFollowerName);

  /** Time since this box or any peer in recent contact read the log. */
  const sinceLogReadMs = () => {
    const now = clock.now();
    const ages = summaries
      .recent()
      .map((entry) => entry.summary.logSilentMs + now - entry.receivedAt);
    return Math.min(follower.sinceLastResponseMs(), ...ages);
  };

  const summary = (): MemberSummary => ({
    offset: store.state().offset,
    ready: store.ready(),
    logSilentMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(sinceLogReadMs())),
  });

  const readProgress = (offset: Offset): ReadProgress => {
    const peerOffsets = summaries.recent().map((entry) => entry.summary.offset);
    const offsets = [store.state().offset, ...peerOffsets];
    return {
      boxes: offsets.length,
      reached: offsets.filter((reached) => reached >= offset).length,
    };
  };

  /** Addresses of lease holders from the log, for discovery while the platform's list is unavailable. */
  const holderAddresses = (): readonly string[] =>
    [...store.state().leases.values()].flatMap((lease) => lease.holderAddress ?? []);

  return { sinceLogReadMs, summary, readProgress, holderAddresses };
}

/** Creates the membership service of one box; it runs heartbeat rounds between `start` and `stop`. */
export function createMembership(kernel: Kernel): Membership & Service {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const store = kernel.find(stateStoreName);
  const incarnation = kernel.find(incarnationName);
  const settings = kernel.find(settingsName);
  const { heartbeat_ms, entries_per_message, fanout, stale_serving_ms } = settings.membership;
  const { list_poll_ms } = settings.platform;
  const { table, summaries, logSuspected } = createKnownBoxes(kernel);
  const log = createLogContact(kernel, summaries);
  const list = createPlatformList(clock, random, kernel.find(boxListPortName), list_poll_ms);
  const electorate = createElectorate();
  const nextEntries = createPages<MemberEntry>(entries_per_message);

  let heartbeat = 0;
  let leaving = false;
  let wasIsolated = false;

  const self = (): MemberEntry => ({
    box: settings.box.name,
    incarnation,
    peerAddress: settings.box.peer_address,
    callerAddress: settings.box.caller_address,
    domain: settings.box.domain,
    heartbeat,
    leaving,
  });
  const alive = () => [self(), ...table.alive(clock.now())];

  const exchange = createExchange({
    peers: kernel.find(peerPortName),
    store,
    logger,
    blame: kernel.find(crashBlameName),
    createHeartbeat: () => ({
      from: self(),
      members: nextEntries(table.alive(clock.now())),
      summary: log.summary(),
    }),
    applyHeartbeat(from, members, summary) {
      const now = clock.now();
      table.applyDirect(from, now);
      table.merge(members, now);
      summaries.record(from.incarnation, summary);
    },
  });

  // Heartbeats may be relayed, since a box of a large deployment contacts few others directly. Reads of the log
  // are relayed with them, so a box that is heard after the last read known here has not told of a newer one.
  const isolated = () => {
    const contact = {
      sinceLogReadMs: log.sinceLogReadMs(),
      countHeardWithin: (ms: Milliseconds) => 1 + table.countHeardWithin(ms, clock.now()),
      knownBoxes: electorate.size(),
    };
    return isIsolated(contact, stale_serving_ms);
  };

  const logIsolationChange = () => {
    const isIsolatedNow = isolated();
    if (isIsolatedNow !== wasIsolated) logger.event(isIsolatedNow ? "boxIsolated" : "boxRejoined");
    wasIsolated = isIsolatedNow;
  };

  const updateElectorate = () => {
    const names = new Set(table.known().map(({ entry }) => entry.box));
    const boxes = Math.max(names.add(settings.box.name).size, list.boxes().length);
    electorate.update(boxes, log.sinceLogReadMs() <= recentRounds * heartbeat_ms);
  };

  /** Random addresses of members and of boxes in the platform's list or the log. */
  const addressesOfRound = () => {
    const known = table.known().map((member) => member.entry.peerAddress);
    const listed = list.boxes().map((box) => box.peerAddress);
    const all = [...known, ...listed, ...log.holderAddresses()];
    return selectRoundPeers(random, all, settings.box.peer_address, fanout);
  };

  const round = () => {
    heartbeat += 1;
    table.removeExpired(clock.now());
    updateElectorate();
    logIsolationChange();
    logSuspected();
    for (const address of addressesOfRound()) void exchange.sendHeartbeat(address);
  };
  const rounds = repeatEvery(clock, random, heartbeat_ms, round);

  return {
    self,
    alive,
    serving() {
      const listedAsLeaving = list.leavingBoxes();
      return alive().filter((entry) => !entry.leaving && !listedAsLeaving.has(entry.peerAddress));
    },
    known: table.known,
    find: (requested) => (requested === incarnation ? self() : table.find(requested)?.entry),
    leavingTargets: list.leavingTargets,
    leave() {
      leaving = true;
    },
    isolated,
    readProgress: log.readProgress,
    pollLaggingPeers(offset) {
      for (const { incarnation: peer, summary } of summaries.all()) {
        const address = table.find(peer)?.entry.peerAddress;
        if (address !== undefined && summary.offset < offset) void exchange.sendHeartbeat(address);
      }
    },
    receive: exchange.receive,
    stateForPeer: () => ({ offset: store.state().offset, data: serialiseState(store.state()) }),
    async start() {
      await list.read();
      round();
      await rounds.start();
      await list.start();
    },
    async stop() {
      await rounds.stop();
      await list.stop();
    },
  };
}
