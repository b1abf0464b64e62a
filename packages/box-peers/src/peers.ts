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
import { createMember, type Member, takeSighting, takeStatus } from "./member.js";
import type { BoxAddress, BoxProfile, BoxStatus, Heartbeat, Sighting } from "./messages.js";
import { isMesh, type PartnerRules, partnersOfRound, roundMs, sample } from "./partners.js";
import type { PeerClient } from "./transport.js";

export interface PeerRules extends PartnerRules {
  /** Where other boxes reach this one. */
  readonly selfAddress: string;
  /** Shortest time between two rounds of heartbeats. */
  readonly roundMs: Milliseconds;
  /** Time between two rounds for each other box, where that is longer. */
  readonly roundPerBoxMs: Milliseconds;
  /** A box that was not heard for this long gets no callers. */
  readonly suspectMs: Milliseconds;
  /** A box that the holder of the order lease vouched for is believed in for this long after the
   * holder fell silent. */
  readonly vouchedMs: Milliseconds;
  /** A box that was not heard for this long is forgotten. */
  readonly forgetMs: Milliseconds;
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

/** In a large deployment, boxes without callers make their rounds so many times as far apart. */
const restingFactor = 2;
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
  const members = new Map<string, Member>();
  const calling = new Map<Member, Calling>();
  const listeners: ((heartbeat: Heartbeat) => void)[] = [];
  let most = 1;
  let round = 0;
  let stopped = false;
  let cancel: CancelTimer = () => undefined;

  const all = () => [...members.values()];
  const mesh = () => isMesh(members.size, rules);
  const intervalMs = () => roundMs(rules.roundMs, rules.roundPerBoxMs, members.size);
  /** Silence after which a box is suspected: a few rounds. */
  const suspectMs = () => (rules.suspectMs * intervalMs()) / rules.roundMs;
  const mayRestMs = (member: Member) =>
    mesh() || member.profile?.takesRequests ? suspectMs() : suspectMs() * restingFactor;
  const byIncarnation = (incarnation: Incarnation) =>
    all().find((member) => member.status?.incarnation === incarnation);

  const learn = (address: BoxAddress): Member | undefined => {
    if (address.peerAddress === rules.selfAddress) return undefined;
    const known = members.get(address.peerAddress);
    if (known) return known;
    const member = createMember(address, clock.now());
    members.set(address.peerAddress, member);
    most = Math.max(most, members.size + 1);
    return member;
  };

  const isAlive = (member: Member): boolean => {
    const now = clock.now();
    if (now - member.seenAt <= mayRestMs(member)) return true;
    if (member.vouchedBy === undefined) return false;
    const holder = byIncarnation(member.vouchedBy);
    return holder !== undefined && now - holder.heardAt <= rules.vouchedMs;
  };

  const takeSightings = ({ status, sightings, report }: Heartbeat) => {
    const now = clock.now();
    for (const sighting of sightings) {
      const member = learn(sighting);
      if (member) takeSighting(member, sighting, now);
    }
    for (const sighting of report?.members ?? []) {
      const member = learn(sighting);
      if (member) takeSighting(member, sighting, now, status.incarnation);
    }
  };

  const take = (heartbeat: Heartbeat) => {
    const { status } = heartbeat;
    takeSightings(heartbeat);
    const member = learn(status);
    if (!member) return;
    const before = member.status?.incarnation;
    if (!takeStatus(member, status, clock.now())) return;
    if (before !== status.incarnation) {
      logger.event("memberJoined", { box: status.box, incarnation: status.incarnation });
    }
    member.suspected = false;
    for (const listener of listeners) listener(heartbeat);
  };

  const toSighting = (member: Member): readonly Sighting[] => {
    if (!member.profile) return [];
    const { box, incarnation, frontAddress, peerAddress, domain, capacity } = member.profile;
    const { ready, leaving, strained, takesRequests, reading } = member.profile;
    const ageMs = Math.round(clock.now() - member.seenAt);
    const identity = { box, incarnation, frontAddress, peerAddress, domain, capacity };
    const state = { ready, leaving, strained, takesRequests, reading };
    return [{ ...identity, ...state, ageMs, silent: !isAlive(member) }];
  };

  /** A box that hears all others, or follows the holder's reports, knows them already, but for new ones. */
  const sightingsFor = (reader?: BoxStatus): readonly Member[] => {
    const alive = all().filter(isAlive);
    const knowsOthers = reader !== undefined && (mesh() || reader.followed !== undefined);
    if (!knowsOthers) return sample(alive, rules.sightings, random);
    return random.below(rememberEvery) === 0 ? sample(alive, 1, random) : [];
  };

  const message = (reader?: BoxStatus): Heartbeat => {
    return source.message(reader, sightingsFor(reader).flatMap(toSighting));
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

  const suspect = (member: Member) => {
    if (!member.profile || member.suspected || isAlive(member)) return;
    member.suspected = true;
    const { box, incarnation } = member.profile;
    logger.event("memberSuspected", { box, incarnation });
  };

  const forgetGone = () => {
    for (const [key, member] of members) {
      suspect(member);
      const last = Math.max(member.seenAt, member.learntAt);
      if (isAlive(member) || clock.now() - last <= rules.forgetMs) continue;
      members.delete(key);
      logger.event("memberGone", { box: member.address.box });
    }
  };

  const partners = (): readonly Member[] => {
    const holder = source.holder();
    const heardAt = holder === undefined ? undefined : byIncarnation(holder)?.heardAt;
    const holderHeard = heardAt !== undefined && clock.now() - heardAt <= suspectMs();
    return partnersOfRound({ members: all(), holder, holderHeard, round }, rules, random);
  };

  const isDue = (member: Member) =>
    !calling.has(member) && clock.now() - member.heardAt > intervalMs() * heardShare;

  const runRound = () => {
    if (stopped) return;
    round += 1;
    forgetGone();
    for (const member of partners()) if (isDue(member)) void ask(member);
    const jitter = 1 + jitterShare * (random.fraction() - 0.5);
    const factor = source.resting() && !mesh() ? restingFactor : 1;
    cancel = clock.after(intervalMs() * factor * jitter, runRound);
  };

  return {
    learn: (address) => void learn(address),
    receive(heartbeat) {
      take(heartbeat);
      return message(heartbeat.status);
    },
    alive: () => all().flatMap((member) => (isAlive(member) ? (member.profile ?? []) : [])),
    statuses: () =>
      all().flatMap((member) =>
        member.status && clock.now() - member.heardAt <= suspectMs() ? member.status : [],
      ),
    sightings: () => all().flatMap(toSighting),
    heardMs(incarnation) {
      const member = byIncarnation(incarnation);
      return member && clock.now() - member.heardAt;
    },
    find: (incarnation) => byIncarnation(incarnation)?.status,
    most: () => most,
    mesh,
    send(chosen) {
      const members = chosen ? all().filter(chosen) : partners();
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
