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
import { createMemberTable, type MemberRules, restingFactor } from "./member-table.js";
import type { BoxAddress, BoxProfile, BoxStatus, Heartbeat, Sighting } from "./messages.js";
import { partnersOfRound, sample } from "./partners.js";
import type { PeerClient } from "./transport.js";

export interface PeerRules extends MemberRules {
  /** Sightings in one heartbeat. */
  readonly sightings: number;
}

/** What this box puts into its heartbeats. */
export interface HeartbeatSource {
  /** A message for one reader, or for a box that has not been heard yet. */
  message(reader: BoxStatus | undefined, sightings: readonly Sighting[]): Heartbeat;
  /** The holder of the order lease, as far as this box knows. */
  holder(): Incarnation | undefined;
  /** Whether this box has no callers now. */
  resting(): boolean;
}

export interface Peers extends Service {
  /** Notes where a box may be asked. */
  learn(address: BoxAddress): void;
  /** Answers the heartbeat of another box with this one's. */
  receive(heartbeat: Heartbeat): Heartbeat;
  /** Boxes that are taken for alive, without this one. */
  alive(): readonly BoxProfile[];
  /** Statuses that came from boxes themselves lately. */
  statuses(): readonly BoxStatus[];
  /** Every known box as this one tells of it. */
  sightings(): readonly Sighting[];
  /** Time since the box itself was heard. */
  heardMs(incarnation: Incarnation): Milliseconds | undefined;
  /** Time since any other box was heard; 0 where none is known. */
  silentMs(): Milliseconds;
  /** Silence after which a box is suspected. */
  suspectMs(): Milliseconds;
  find(incarnation: Incarnation): BoxStatus | undefined;
  /** Most boxes that were known at once, this one included. */
  most(): number;
  /** Whether every box exchanges heartbeats with every other one. */
  mesh(): boolean;
  /** Sends a heartbeat now to the boxes of a round, or to those that are chosen. */
  send(chosen?: (member: Member) => boolean): void;
  onHeartbeat(listener: (heartbeat: Heartbeat) => void): void;
}

export const peersName = serviceName<Peers>("peers");

/** Calls to one box: one at a time, and one more where there is news meanwhile. */
interface Calling {
  again: boolean;
}

/** One of so many heartbeats tells a box of another that it knows already, should it have missed it. */
const rememberEvery = 4;
/** Share of the interval by which rounds vary, so that boxes do not act in step. */
const jitterShare = 0.2;
/**
 * A box heard within this share of the interval is not asked in a round: each exchange tells both sides
 * everything, so that one of each pair in a round is enough. The longest time between two exchanges
 * stays under two rounds.
 */
const heardShare = 0.6;

export function createPeers(
  kernel: Kernel,
  client: PeerClient,
  source: HeartbeatSource,
  rules: PeerRules,
): Peers {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const table = createMemberTable(clock, rules);
  const calling = new Map<Member, Calling>();
  const listeners: ((heartbeat: Heartbeat) => void)[] = [];
  let round = 0;
  let stopped = false;
  let cancel: CancelTimer = () => undefined;

  const take = (heartbeat: Heartbeat) => {
    const { box, incarnation } = heartbeat.status;
    const taken = table.take(heartbeat);
    if (taken === "old") return;
    if (taken === "new_incarnation") logger.event("memberJoined", { box, incarnation });
    for (const listener of listeners) listener(heartbeat);
  };

  /** A box that hears all others, or follows the holder's reports, knows them already, but for new ones. */
  const sightingsFor = (reader?: BoxStatus): readonly Member[] => {
    const knowsOthers = reader !== undefined && (table.mesh() || reader.followed !== undefined);
    if (knowsOthers && random.nextInt(rememberEvery) !== 0) return [];
    const alive = table.all().filter(table.isAlive);
    return sample(alive, knowsOthers ? 1 : rules.sightings, random);
  };

  const message = (reader?: BoxStatus): Heartbeat => {
    return source.message(reader, sightingsFor(reader).flatMap(table.sightingOf));
  };

  const ask = async (member: Member): Promise<void> => {
    const call: Calling = { again: false };
    calling.set(member, call);
    const reply = await client.exchange(member.address.peerAddress, message(member.status));
    calling.delete(member);
    reply.ifRight(take);
    if (call.again && reply.isRight() && !stopped) await ask(member);
  };
  /** Asks now, or as soon as the call under way is answered. */
  const askSoon = (member: Member) => {
    const call = calling.get(member);
    if (call) call.again = true;
    else void ask(member);
  };

  const logSilent = () => {
    const { suspected, gone } = table.lookForSilent();
    for (const { profile } of suspected) {
      logger.event("memberSuspected", { box: profile?.box, incarnation: profile?.incarnation });
    }
    for (const { address } of gone) logger.event("memberGone", { box: address.box });
  };

  const partners = (): readonly Member[] => {
    const holder = source.holder();
    const heardAt = holder === undefined ? undefined : table.find(holder)?.heardAt;
    const holderHeard = heardAt !== undefined && clock.elapsed() - heardAt <= table.suspectMs();
    return partnersOfRound({ members: table.all(), holder, holderHeard, round }, rules, random);
  };

  const isDue = (member: Member) =>
    !calling.has(member) && clock.elapsed() - member.heardAt > table.intervalMs() * heardShare;

  const runRound = () => {
    if (stopped) return;
    round += 1;
    logSilent();
    for (const member of partners()) if (isDue(member)) void ask(member);
    const jitter = 1 + jitterShare * (random.nextFloat() - 0.5);
    const factor = source.resting() && !table.mesh() ? restingFactor : 1;
    cancel = clock.after(table.intervalMs() * factor * jitter, runRound);
  };

  return {
    learn: (address) => void table.learn(address),
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
          member.status && clock.elapsed() - member.heardAt <= table.suspectMs()
            ? member.status
            : [],
        ),
    sightings: () => table.all().flatMap(table.sightingOf),
    heardMs(incarnation) {
      const member = table.find(incarnation);
      return member && clock.elapsed() - member.heardAt;
    },
    silentMs() {
      const heardAt = table.all().map((member) => member.heardAt);
      return heardAt.length === 0 ? 0 : clock.elapsed() - Math.max(...heardAt);
    },
    suspectMs: table.suspectMs,
    find: (incarnation) => table.find(incarnation)?.status,
    most: table.most,
    mesh: table.mesh,
    send(chosen) {
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
