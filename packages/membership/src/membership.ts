/** Heartbeats to peers, and what they carry: members, log records and demand. */
import { settingsName } from "@linkfall/config";
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
import { parseState, serialiseState } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import type { Incarnation, ListedBox, MemberEntry, MemberSummary, Offset } from "@linkfall/types";
import { isIsolated } from "./isolation.js";
import { createHeardWords } from "./heard-words.js";
import { createMemberTable, type Member } from "./member-table.js";
import { peersOfRound } from "./round-peers.js";

/** Most records of the log passed on in one answer. */
const recordsPerReply = 64;
/** Rounds without word after which a peer no longer counts as heard. */
const heardRounds = 5;

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
  readTo(offset: Offset): ReadProgress;
  /** Asks those of them that had not read so far by their last word for a newer one. */
  askBehind(offset: Offset): void;
  /** Answers the peers' messages. */
  receive(message: Heartbeat): HeartbeatReply;
  stateForPeer(): PeerState;
}

export const membershipName = serviceName<Membership>("membership");

/** Creates the membership of one box; its life cycle is the rounds of heartbeats. */
export function createMembership(kernel: Kernel): Membership & Service {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const store = kernel.find(stateStoreName);
  const follower = kernel.find(logFollowerName);
  const peers = kernel.find(peerPortName);
  const list = kernel.find(boxListPortName);
  const incarnation = kernel.find(incarnationName);
  const settings = kernel.find(settingsName);
  const limits = {
    suspectMs: settings.membership.suspect_ms,
    forgetMs: settings.membership.forget_ms,
  };
  const heardMs = heardRounds * settings.membership.heartbeat_ms;

  let listed: readonly ListedBox[] = [];
  let leavingTargets: ReadonlySet<string> = new Set();
  let heartbeat = 0;
  let leaving = false;
  let entryCursor = 0;
  let wasIsolated = false;
  /**
   * Boxes that were known, or listed, when the log was last in reach. Those that fall silent after that still
   * count: a box that forgets all others would otherwise take itself for the majority.
   */
  let electorate = 1;
  const heard = createHeardWords(clock, heardMs);
  const beating = new Set<string>();
  const suspected = new Set<Incarnation>();
  const table = createMemberTable(incarnation, limits, {
    joined: (entry) => logger.event("memberJoined", { member: entry.incarnation }),
    gone(entry) {
      heard.forget(entry.incarnation);
      suspected.delete(entry.incarnation);
      logger.event("memberGone", { member: entry.incarnation });
    },
  });

  const self = (): MemberEntry => ({
    box: settings.box.name,
    incarnation,
    peerAddress: settings.box.peer_address,
    callerAddress: settings.box.caller_address,
    domain: settings.box.domain,
    heartbeat,
    leaving,
  });

  /** Time since anyone that this box hears read the log. */
  const freshMs = () => {
    const now = clock.now();
    const ages = heard.lately().map((word) => word.summary.logSilentMs + now - word.at);
    return Math.min(follower.silentFor(), ...ages);
  };

  const summary = (): MemberSummary => ({
    offset: store.state().offset,
    ready: store.ready(),
    logSilentMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(freshMs())),
  });

  /** A bounded, rotating part of the table, so that a message stays small in a large fleet. */
  const someEntries = (): readonly MemberEntry[] => {
    const entries = table.alive(clock.now());
    const most = settings.membership.entries_per_message;
    if (entries.length <= most) return entries;
    entryCursor = (entryCursor + most) % entries.length;
    return [...entries, ...entries].slice(entryCursor, entryCursor + most);
  };

  const hear = (from: MemberEntry, members: readonly MemberEntry[], word: MemberSummary) => {
    const now = clock.now();
    table.hearDirectly(from, now);
    table.merge(members, now);
    heard.note(from.incarnation, word);
  };

  const takeStateFrom = async (address: string) => {
    const fetched = await peers.fetchState(address);
    fetched
      .chain((answer) => parseState(answer.data))
      .ifRight((state) => {
        if (store.replace(state)) logger.event("restoredFromPeer", { offset: state.offset });
      });
  };

  /** One message to a peer at a time; a peer that does not answer holds up nobody else's. */
  const beat = async (address: string) => {
    if (beating.has(address)) return;
    beating.add(address);
    await exchangeWith(address);
    beating.delete(address);
  };

  const exchangeWith = async (address: string) => {
    const message = { from: self(), members: someEntries(), summary: summary() };
    const sent = await peers.heartbeat(address, message);
    if (sent.isLeft()) return;
    const reply = sent.unsafeCoerce();
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

  /** Holders of leases, as the log names them: boxes find each other by it while the list is out. */
  const holderAddresses = (): readonly string[] =>
    [...store.state().leases.values()].flatMap((lease) => lease.holderAddress ?? []);

  /** Some members, and boxes that the list or the log names. */
  const addressesOfRound = () => {
    const known = table.known().map((member) => member.entry.peerAddress);
    const fromList = listed.map((line) => line.peerAddress);
    const all = [...known, ...fromList, ...holderAddresses()];
    return peersOfRound(random, all, settings.box.peer_address, settings.membership.fanout);
  };

  const noteIsolation = () => {
    const isolated = membership.isolated();
    if (isolated !== wasIsolated) logger.event(isolated ? "boxIsolated" : "boxRejoined");
    wasIsolated = isolated;
  };

  /** Tells of each member once when its heartbeat stands still. */
  const noteSuspected = () => {
    const alive = new Set(table.alive(clock.now()).map((entry) => entry.incarnation));
    for (const { entry } of table.known()) {
      if (alive.has(entry.incarnation)) suspected.delete(entry.incarnation);
      else if (!suspected.has(entry.incarnation)) {
        suspected.add(entry.incarnation);
        logger.event("memberSuspected", { member: entry.incarnation });
      }
    }
  };

  /** While the log is out of reach the number of boxes may grow, but not shrink. */
  const noteElectorate = () => {
    const names = new Set(table.known().map(({ entry }) => entry.box));
    const boxes = Math.max(names.add(settings.box.name).size, listed.length);
    electorate = freshMs() <= heardMs ? boxes : Math.max(electorate, boxes);
  };

  const round = () => {
    heartbeat += 1;
    table.sweep(clock.now());
    noteElectorate();
    noteIsolation();
    noteSuspected();
    for (const address of addressesOfRound()) void beat(address);
  };

  const readList = async () => {
    const read = await list.read();
    read.ifRight((shown) => {
      listed = shown.boxes;
      leavingTargets = new Set(shown.leavingTargets);
    });
  };

  const rounds = repeatEvery(clock, random, settings.membership.heartbeat_ms, round);
  const listReads = repeatEvery(clock, random, settings.platform.list_poll_ms, readList);

  const membership: Membership & Service = {
    self,
    alive: () => [self(), ...table.alive(clock.now())],
    serving() {
      const shownLeaving = new Set(
        listed.filter((line) => line.state === "leaving").map((line) => line.peerAddress),
      );
      return membership
        .alive()
        .filter((entry) => !entry.leaving && !shownLeaving.has(entry.peerAddress));
    },
    known: table.known,
    find: (wanted) => (wanted === incarnation ? self() : table.find(wanted)?.entry),
    leavingTargets: () => leavingTargets,
    leave() {
      leaving = true;
    },
    isolated() {
      // Word of them may come through others: in a large fleet a box hears few of them directly. Word of
      // a read of the log comes the same way, so those that are heard have not read it either.
      const aliveBoxes = membership.alive().length;
      const contact = { freshMs: freshMs(), aliveBoxes, knownBoxes: electorate };
      return isIsolated(contact, settings.membership.stale_serving_ms);
    },
    readTo(offset) {
      const words = heard.lately().map((word) => word.summary.offset);
      const offsets = [store.state().offset, ...words];
      return {
        boxes: offsets.length,
        reached: offsets.filter((reached) => reached >= offset).length,
      };
    },
    askBehind(offset) {
      for (const { start, summary: word } of heard.all()) {
        const address = table.find(start)?.entry.peerAddress;
        if (address !== undefined && word.offset < offset) void beat(address);
      }
    },
    receive(message) {
      hear(message.from, message.members, message.summary);
      return {
        from: self(),
        members: someEntries(),
        summary: summary(),
        records: store.recentAfter(message.summary.offset, recordsPerReply),
      };
    },
    stateForPeer: () => ({ offset: store.state().offset, data: serialiseState(store.state()) }),
    async start() {
      await readList();
      round();
      await rounds.start();
      await listReads.start();
    },
    async stop() {
      await rounds.stop();
      await listReads.stop();
    },
  };
  return membership;
}
