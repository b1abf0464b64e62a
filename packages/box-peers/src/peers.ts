/** Tracks the other boxes through heartbeats and the sightings contained in them. */
import {
  type CancelTimer,
  clockName,
  type Kernel,
  randomName,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { Member } from "./member.js";
import { createMemberTable, type MemberOptions, idleRoundFactor } from "./member-table.js";
import type { BoxAddress, BoxProfile, BoxStatus, Heartbeat, Sighting } from "./messages.js";
import { selectPartners, sample } from "./partners.js";
import type { PeerClient } from "./transport.js";

export interface PeerOptions extends MemberOptions {
  /** Maximum number of sightings in a heartbeat. */
  readonly maxSightings: number;
}

/** Provides the content of this box's heartbeats. */
export interface HeartbeatSource {
  /** Creates a heartbeat; `recipient` is undefined for a box that has not sent one yet. */
  createHeartbeat(recipient: BoxStatus | undefined, sightings: readonly Sighting[]): Heartbeat;
  /** The lease holder known to this box. */
  holder(): Incarnation | undefined;
  /** Whether this box currently has no callers. */
  isIdle(): boolean;
}

export interface Peers extends Service {
  /** Adds the address of a box to contact. */
  addPeer(address: BoxAddress): void;
  /** Applies the heartbeat of another box and returns this box's reply. */
  receive(heartbeat: Heartbeat): Heartbeat;
  /** Profiles of the boxes considered alive, without this one. */
  alive(): readonly BoxProfile[];
  /** Statuses of the boxes that recently sent a heartbeat to this one. */
  statuses(): readonly BoxStatus[];
  /** Sightings of all known boxes. */
  sightings(): readonly Sighting[];
  /** Time since the last heartbeat from the box itself. */
  sinceHeartbeatMs(incarnation: Incarnation): Milliseconds | undefined;
  /** Number of other boxes that sent a heartbeat within the last `ms`. */
  countHeardWithin(ms: Milliseconds): number;
  /** Time since the last heartbeat from any other box; 0 if none is known. */
  sinceAnyHeartbeatMs(): Milliseconds;
  /** Time without a heartbeat after which a box is suspected. */
  suspicionTimeoutMs(): Milliseconds;
  findStatus(incarnation: Incarnation): BoxStatus | undefined;
  /** Highest number of boxes known at the same time, including this one. */
  maxKnownBoxes(): number;
  /** Whether every box exchanges heartbeats with every other one. */
  isFullMesh(): boolean;
  /** Sends heartbeats immediately to the partners of the current round, or to all members that match `filter`. */
  sendHeartbeats(filter?: (member: Member) => boolean): void;
  onHeartbeat(listener: (heartbeat: Heartbeat) => void): void;
}

export const peersName = serviceName<Peers>("peers");

/** The call to one box in progress; `repeat` requests another one after it. */
interface PendingCall {
  repeat: boolean;
}

/** One in this many heartbeats carries a sighting that the recipient should already have, in case it was lost. */
const redundantSightingPeriod = 4;
/** Fraction of the interval by which rounds vary, to keep boxes from synchronizing. */
const jitterFraction = 0.2;
/**
 * A box with a heartbeat within this fraction of the interval is skipped in a round, since an exchange informs both
 * sides. Two boxes still exchange heartbeats at least every two rounds.
 */
const recentContactFraction = 0.6;

export function createPeers(
  kernel: Kernel,
  client: PeerClient,
  source: HeartbeatSource,
  options: PeerOptions,
): Peers {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const table = createMemberTable(clock, options);
  const pendingCalls = new Map<Member, PendingCall>();
  const listeners: ((heartbeat: Heartbeat) => void)[] = [];
  let round = 0;
  let stopped = false;
  let cancel: CancelTimer = () => undefined;

  const applyHeartbeat = (heartbeat: Heartbeat) => {
    const { box, incarnation } = heartbeat.status;
    const update = table.applyHeartbeat(heartbeat);
    if (update === "old") return;
    if (update === "new_incarnation") logger.event("memberJoined", { box, incarnation });
    for (const listener of listeners) listener(heartbeat);
  };

  /** Members to include; a recipient in a full mesh or with the lease holder's reports needs only a rare one. */
  const sightingsFor = (recipient?: BoxStatus): readonly Member[] => {
    const knowsMembers =
      recipient !== undefined && (table.isFullMesh() || recipient.followed !== undefined);
    if (knowsMembers && random.nextInt(redundantSightingPeriod) !== 0) return [];
    return sample(table.alive(), knowsMembers ? 1 : options.maxSightings, random);
  };

  const createMessage = (recipient?: BoxStatus): Heartbeat => {
    return source.createHeartbeat(recipient, table.toSightings(sightingsFor(recipient)));
  };

  const exchangeWith = async (member: Member): Promise<void> => {
    const call: PendingCall = { repeat: false };
    pendingCalls.set(member, call);
    const reply = await client.exchange(member.address.peerAddress, createMessage(member.status));
    pendingCalls.delete(member);
    reply.ifRight(applyHeartbeat);
    if (call.repeat && reply.isRight() && !stopped) await exchangeWith(member);
  };
  /** Exchanges heartbeats now, or right after the call in progress. */
  const requestExchange = (member: Member) => {
    const call = pendingCalls.get(member);
    if (call) call.repeat = true;
    else void exchangeWith(member);
  };

  const logSilent = () => {
    const { suspected, gone } = table.detectSilent();
    for (const { profile } of suspected) {
      logger.event("memberSuspected", { box: profile?.box, incarnation: profile?.incarnation });
    }
    for (const { address } of gone) logger.event("memberGone", { box: address.box });
  };

  const currentPartners = (): readonly Member[] => {
    const holder = source.holder();
    const lastHeartbeatAt = holder === undefined ? undefined : table.find(holder)?.lastHeartbeatAt;
    const holderReachable =
      lastHeartbeatAt !== undefined &&
      clock.elapsed() - lastHeartbeatAt <= table.suspicionTimeoutMs();
    return selectPartners(
      { members: table.all(), holder, holderReachable, round },
      options,
      random,
    );
  };

  const isDue = (member: Member) =>
    !pendingCalls.has(member) &&
    clock.elapsed() - member.lastHeartbeatAt > table.roundIntervalMs() * recentContactFraction;

  const runRound = () => {
    if (stopped) return;
    round += 1;
    logSilent();
    for (const member of currentPartners()) if (isDue(member)) void exchangeWith(member);
    const jitter = 1 + jitterFraction * (random.nextFloat() - 0.5);
    const factor = source.isIdle() && !table.isFullMesh() ? idleRoundFactor : 1;
    cancel = clock.after(table.roundIntervalMs() * factor * jitter, runRound);
  };

  return {
    addPeer: (address) => void table.add(address),
    receive(heartbeat) {
      applyHeartbeat(heartbeat);
      return createMessage(heartbeat.status);
    },
    alive: () => table.alive().flatMap(({ profile }) => profile ?? []),
    statuses: () => table.heard().flatMap(({ status }) => status ?? []),
    sightings: () => table.toSightings(table.all()),
    sinceHeartbeatMs(incarnation) {
      const member = table.find(incarnation);
      return member && clock.elapsed() - member.lastHeartbeatAt;
    },
    countHeardWithin(ms) {
      const heardSince = clock.elapsed() - ms;
      return table.all().filter(({ lastHeartbeatAt }) => lastHeartbeatAt >= heardSince).length;
    },
    sinceAnyHeartbeatMs() {
      const lastHeartbeatAt = table.all().map((member) => member.lastHeartbeatAt);
      return lastHeartbeatAt.length === 0 ? 0 : clock.elapsed() - Math.max(...lastHeartbeatAt);
    },
    suspicionTimeoutMs: table.suspicionTimeoutMs,
    findStatus: (incarnation) => table.find(incarnation)?.status,
    maxKnownBoxes: table.maxKnownBoxes,
    isFullMesh: table.isFullMesh,
    sendHeartbeats(filter) {
      const members = filter ? table.all().filter(filter) : currentPartners();
      for (const member of members) requestExchange(member);
    },
    onHeartbeat: (listener) => void listeners.push(listener),
    async start() {
      runRound();
    },
    async stop() {
      stopped = true;
      cancel();
    },
  };
}
