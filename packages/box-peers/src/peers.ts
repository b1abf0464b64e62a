/** Knows the other boxes: by the heartbeats that they exchange and by what others tell of them. */
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
  /** Sightings in one heartbeat. */
  readonly maxSightings: number;
}

/** What this box puts into its heartbeats. */
export interface HeartbeatSource {
  /** A message for one reader, or for a box that has not been heard yet. */
  createHeartbeat(reader: BoxStatus | undefined, sightings: readonly Sighting[]): Heartbeat;
  /** The holder of the order lease, as far as this box knows. */
  holder(): Incarnation | undefined;
  /** Whether this box has no callers now. */
  isIdle(): boolean;
}

export interface Peers extends Service {
  /** Notes where a box may be asked. */
  addPeer(address: BoxAddress): void;
  /** Answers the heartbeat of another box with this one's. */
  receive(heartbeat: Heartbeat): Heartbeat;
  /** Boxes that are taken for alive, without this one. */
  alive(): readonly BoxProfile[];
  /** Statuses that came from boxes themselves lately. */
  statuses(): readonly BoxStatus[];
  /** Every known box as this one tells of it. */
  sightings(): readonly Sighting[];
  /** Time since the box itself was heard. */
  sinceHeartbeatMs(incarnation: Incarnation): Milliseconds | undefined;
  /** Time since any other box was heard; 0 where none is known. */
  sinceAnyHeartbeatMs(): Milliseconds;
  /** Silence after which a box is suspected. */
  suspicionTimeoutMs(): Milliseconds;
  findStatus(incarnation: Incarnation): BoxStatus | undefined;
  /** Most boxes that were known at once, this one included. */
  maxKnownBoxes(): number;
  /** Whether every box exchanges heartbeats with every other one. */
  isFullMesh(): boolean;
  /** Sends a heartbeat now to the boxes of a round, or to those that are chosen. */
  sendHeartbeats(chosen?: (member: Member) => boolean): void;
  onHeartbeat(listener: (heartbeat: Heartbeat) => void): void;
}

export const peersName = serviceName<Peers>("peers");

/** Calls to one box: one at a time, and one more where there is news meanwhile. */
interface PendingCall {
  repeat: boolean;
}

/** One of so many heartbeats tells a box of another that it knows already, should it have missed it. */
const redundantSightingPeriod = 4;
/** Share of the interval by which rounds vary, so that boxes do not act in step. */
const jitterFraction = 0.2;
/**
 * A box heard within this share of the interval is not asked in a round: each exchange tells both sides
 * everything, so that one of each pair in a round is enough. The longest time between two exchanges
 * stays under two rounds.
 */
const recentContactFraction = 0.6;

export function createPeers(
  kernel: Kernel,
  client: PeerClient,
  source: HeartbeatSource,
  rules: PeerOptions,
): Peers {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const table = createMemberTable(clock, rules);
  const calling = new Map<Member, PendingCall>();
  const listeners: ((heartbeat: Heartbeat) => void)[] = [];
  let round = 0;
  let stopped = false;
  let cancel: CancelTimer = () => undefined;

  const take = (heartbeat: Heartbeat) => {
    const { box, incarnation } = heartbeat.status;
    const taken = table.applyHeartbeat(heartbeat);
    if (taken === "old") return;
    if (taken === "new_incarnation") logger.event("memberJoined", { box, incarnation });
    for (const listener of listeners) listener(heartbeat);
  };

  /** A box that hears all others, or follows the holder's reports, knows them already, but for new ones. */
  const sightingsFor = (reader?: BoxStatus): readonly Member[] => {
    const knowsOthers =
      reader !== undefined && (table.isFullMesh() || reader.followed !== undefined);
    if (knowsOthers && random.nextInt(redundantSightingPeriod) !== 0) return [];
    const alive = table.all().filter(table.isAlive);
    return sample(alive, knowsOthers ? 1 : rules.maxSightings, random);
  };

  const message = (reader?: BoxStatus): Heartbeat => {
    return source.createHeartbeat(reader, sightingsFor(reader).flatMap(table.toSightings));
  };

  const ask = async (member: Member): Promise<void> => {
    const call: PendingCall = { repeat: false };
    calling.set(member, call);
    const reply = await client.exchange(member.address.peerAddress, message(member.status));
    calling.delete(member);
    reply.ifRight(take);
    if (call.repeat && reply.isRight() && !stopped) await ask(member);
  };
  /** Asks now, or as soon as the call under way is answered. */
  const askSoon = (member: Member) => {
    const call = calling.get(member);
    if (call) call.repeat = true;
    else void ask(member);
  };

  const logSilent = () => {
    const { suspected, gone } = table.detectSilent();
    for (const { profile } of suspected) {
      logger.event("memberSuspected", { box: profile?.box, incarnation: profile?.incarnation });
    }
    for (const { address } of gone) logger.event("memberGone", { box: address.box });
  };

  const partners = (): readonly Member[] => {
    const holder = source.holder();
    const heardAt = holder === undefined ? undefined : table.find(holder)?.lastHeartbeatAt;
    const holderHeard =
      heardAt !== undefined && clock.elapsed() - heardAt <= table.suspicionTimeoutMs();
    return selectPartners(
      { members: table.all(), holder, holderReachable: holderHeard, round },
      rules,
      random,
    );
  };

  const isDue = (member: Member) =>
    !calling.has(member) &&
    clock.elapsed() - member.lastHeartbeatAt > table.roundIntervalMs() * recentContactFraction;

  const runRound = () => {
    if (stopped) return;
    round += 1;
    logSilent();
    for (const member of partners()) if (isDue(member)) void ask(member);
    const jitter = 1 + jitterFraction * (random.nextFloat() - 0.5);
    const factor = source.isIdle() && !table.isFullMesh() ? idleRoundFactor : 1;
    cancel = clock.after(table.roundIntervalMs() * factor * jitter, runRound);
  };

  return {
    addPeer: (address) => void table.add(address),
    receive(heartbeat) {
      take(heartbeat);
      return message(heartbeat.status);
    },
    alive: () =>
      table.all().flatMap((member) => (table.isAlive(member) ? (member.profile ?? []) : [])),
    statuses: () =>
      table
        .all()
        .flatMap((member) =>
          member.status && clock.elapsed() - member.lastHeartbeatAt <= table.suspicionTimeoutMs()
            ? member.status
            : [],
        ),
    sightings: () => table.all().flatMap(table.toSightings),
    sinceHeartbeatMs(incarnation) {
      const member = table.find(incarnation);
      return member && clock.elapsed() - member.lastHeartbeatAt;
    },
    sinceAnyHeartbeatMs() {
      const heardAt = table.all().map((member) => member.lastHeartbeatAt);
      return heardAt.length === 0 ? 0 : clock.elapsed() - Math.max(...heardAt);
    },
    suspicionTimeoutMs: table.suspicionTimeoutMs,
    findStatus: (incarnation) => table.find(incarnation)?.status,
    maxKnownBoxes: table.maxKnownBoxes,
    isFullMesh: table.isFullMesh,
    sendHeartbeats(chosen) {
      const members = chosen ? table.all().filter(chosen) : partners();
      for (const member of members) askSoon(member);
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
