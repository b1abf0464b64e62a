/** Heartbeats to peers, and what they carry: members, log records and demand. */
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
import type { Incarnation, MemberEntry, MemberSummary, Offset } from "@linkfall/types";
import { createElectorate } from "./electorate.js";
import { createExchange } from "./exchange.js";
import { createPeerSummaries, type PeerSummaries } from "./heard-words.js";
import { isIsolated } from "./isolation.js";
import { createMemberTable, type Member, type MemberTable } from "./member-table.js";
import { createPages } from "./pages.js";
import { createPlatformList } from "./platform-list.js";
import { selectRoundPeers } from "./round-peers.js";
import { createSuspicionMonitor } from "./suspicion.js";

/** Rounds without word after which a peer no longer counts as heard. */
const recentRounds = 5;

/** How many of the boxes that are heard have read to an offset. */
export interface ReadProgress {
  readonly boxes: number;
  readonly reached: number;
}

export interface Membership {
  self(): MemberEntry;
  /** Members whose heartbeat moves, this box first, leaving ones included. */
  alive(): readonly MemberEntry[];
  /** Boxes that may be named to callers: alive, not leaving, not shown as leaving by the list. */
  serving(): readonly MemberEntry[];
  known(): readonly Member[];
  find(incarnation: Incarnation): MemberEntry | undefined;
  /** Names of targets that the platform's list shows as leaving. */
  leavingTargets(): ReadonlySet<string>;
  /** Marks this box as leaving; there is no way back. */
  leave(): void;
  /** Whether this box is cut off and must not serve. */
  isolated(): boolean;
  /** Boxes heard in the last moments, this one included, and how many of them have read so far. */
  readProgress(offset: Offset): ReadProgress;
  /** Asks those of them that had not read so far by their last word for a newer one. */
  pollLaggingPeers(offset: Offset): void;
  /** Answers the peers' messages. */
  receive(message: Heartbeat): HeartbeatReply;
  stateForPeer(): PeerState;
}

export const membershipName = serviceName<Membership>("membership");

/** What is known of other boxes, and the last word of those that are heard directly. */
interface KnownBoxes {
  readonly table: MemberTable;
  readonly summaries: PeerSummaries;
  /** Logs each member whose heartbeat has come to stand still. */
  logSuspected(): void;
}

function createKnownBoxes(kernel: Kernel): KnownBoxes {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const { heartbeat_ms, suspect_ms, forget_ms } = kernel.find(settingsName).membership;
  const heard = createPeerSummaries(clock, recentRounds * heartbeat_ms);
  const suspicion = createSuspicionMonitor(
    () => table.known(),
    (member) => logger.event("memberSuspected", { member }),
  );
  const limits = { suspectMs: suspect_ms, forgetMs: forget_ms };
  const table = createMemberTable(kernel.find(incarnationName), limits, {
    joined: ({ incarnation }) => logger.event("memberJoined", { member: incarnation }),
    gone({ incarnation }) {
      heard.forget(incarnation);
      suspicion.forget(incarnation);
      logger.event("memberGone", { member: incarnation });
    },
  });
  const noteSuspected = () =>
    suspicion.update(table.alive(clock.now()).map(({ incarnation }) => incarnation));
  return { table, summaries: heard, logSuspected: noteSuspected };
}

/** How this box stands towards the log: read by itself, or by others that it hears. */
function createLogContact(kernel: Kernel, heard: PeerSummaries) {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const follower = kernel.find(logFollowerName);

  /** Time since anyone that this box hears read the log. */
  const freshMs = () => {
    const now = clock.now();
    const ages = heard.recent().map((word) => word.summary.logSilentMs + now - word.receivedAt);
    return Math.min(follower.sinceLastResponseMs(), ...ages);
  };

  const summary = (): MemberSummary => ({
    offset: store.state().offset,
    ready: store.ready(),
    logSilentMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(freshMs())),
  });

  const readTo = (offset: Offset): ReadProgress => {
    const words = heard.recent().map((word) => word.summary.offset);
    const offsets = [store.state().offset, ...words];
    return {
      boxes: offsets.length,
      reached: offsets.filter((reached) => reached >= offset).length,
    };
  };

  /** Holders of leases, as the log names them: boxes find each other by it while the list is out. */
  const holderAddresses = (): readonly string[] =>
    [...store.state().leases.values()].flatMap((lease) => lease.holderAddress ?? []);

  return { freshMs, summary, readTo, holderAddresses };
}

/** Creates the membership of one box; its life cycle is the rounds of heartbeats. */
export function createMembership(kernel: Kernel): Membership & Service {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const store = kernel.find(stateStoreName);
  const incarnation = kernel.find(incarnationName);
  const settings = kernel.find(settingsName);
  const { heartbeat_ms, entries_per_message, fanout, stale_serving_ms } = settings.membership;
  const { list_poll_ms } = settings.platform;
  const { table, summaries: heard, logSuspected: noteSuspected } = createKnownBoxes(kernel);
  const log = createLogContact(kernel, heard);
  const list = createPlatformList(clock, random, kernel.find(boxListPortName), list_poll_ms);
  const electorate = createElectorate();
  const pageOfEntries = createPages<MemberEntry>(entries_per_message);

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
      members: pageOfEntries(table.alive(clock.now())),
      summary: log.summary(),
    }),
    applyHeartbeat(from, members, word) {
      const now = clock.now();
      table.applyDirect(from, now);
      table.merge(members, now);
      heard.record(from.incarnation, word);
    },
  });

  // Word of the others may come through others: in a large fleet a box hears few of them directly. Word of
  // a read of the log comes the same way, so those that are heard have not read it either.
  const isolated = () => {
    const contact = {
      freshMs: log.freshMs(),
      aliveBoxes: alive().length,
      knownBoxes: electorate.size(),
    };
    return isIsolated(contact, stale_serving_ms);
  };

  const noteIsolation = () => {
    const isolatedNow = isolated();
    if (isolatedNow !== wasIsolated) logger.event(isolatedNow ? "boxIsolated" : "boxRejoined");
    wasIsolated = isolatedNow;
  };

  const noteElectorate = () => {
    const names = new Set(table.known().map(({ entry }) => entry.box));
    const boxes = Math.max(names.add(settings.box.name).size, list.boxes().length);
    electorate.update(boxes, log.freshMs() <= recentRounds * heartbeat_ms);
  };

  /** Some members, and boxes that the list or the log names. */
  const addressesOfRound = () => {
    const known = table.known().map((member) => member.entry.peerAddress);
    const listed = list.boxes().map((line) => line.peerAddress);
    const all = [...known, ...listed, ...log.holderAddresses()];
    return selectRoundPeers(random, all, settings.box.peer_address, fanout);
  };

  const round = () => {
    heartbeat += 1;
    table.removeExpired(clock.now());
    noteElectorate();
    noteIsolation();
    noteSuspected();
    for (const address of addressesOfRound()) void exchange.sendHeartbeat(address);
  };
  const rounds = repeatEvery(clock, random, heartbeat_ms, round);

  return {
    self,
    alive,
    serving() {
      const shownLeaving = list.leavingBoxes();
      return alive().filter((entry) => !entry.leaving && !shownLeaving.has(entry.peerAddress));
    },
    known: table.known,
    find: (wanted) => (wanted === incarnation ? self() : table.find(wanted)?.entry),
    leavingTargets: list.leavingTargets,
    leave() {
      leaving = true;
    },
    isolated,
    readProgress: log.readTo,
    pollLaggingPeers(offset) {
      for (const { incarnation: start, summary: word } of heard.all()) {
        const address = table.find(start)?.entry.peerAddress;
        if (address !== undefined && word.offset < offset) void exchange.sendHeartbeat(address);
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
