/** Knows the other boxes: by the words that they exchange, and by the addresses that they pass on. */
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type { Incarnation, Milliseconds } from "@linkfall/types";
import type { WordClient } from "./transport.js";
import type { BoxAddress, BoxWord, Exchange } from "./words.js";

export interface PeerRules {
  /** Where other boxes reach this one. */
  readonly selfAddress: string;
  /** Time between two rounds of words. */
  readonly roundMs: Milliseconds;
  /** A box that was not heard for this long gets no callers. */
  readonly suspectMs: Milliseconds;
  /** A box that was not heard for this long is forgotten. */
  readonly forgetMs: Milliseconds;
  /** Most boxes that one round goes to. */
  readonly fanout: number;
}

/** A box with when it was heard last. */
export interface HeardBox {
  readonly word: BoxWord;
  readonly heardAt: Milliseconds;
}

export interface Peers extends Service {
  /** Notes where a box may be asked. */
  learn(address: BoxAddress): void;
  /** Answers the word of another box with this one's. */
  receive(message: Exchange): Exchange;
  /** Boxes that were heard lately, without this one. */
  heard(): readonly HeardBox[];
  heardMs(incarnation: Incarnation): Milliseconds | undefined;
  find(incarnation: Incarnation): BoxWord | undefined;
  /** Most boxes that were known at once, this one included. */
  most(): number;
  /** Sends this box's word now: to one box, or to all that a round goes to. */
  tell(incarnation?: Incarnation): void;
  onWord(listener: (word: BoxWord) => void): void;
}

export const peersName = serviceName<Peers>("peers");

interface Known {
  readonly address: BoxAddress;
  heard?: HeardBox;
  asking: boolean;
  /** There is news since the word that is on its way. */
  again: boolean;
  failures: number;
  learntAt: Milliseconds;
  suspected: boolean;
}

export function createPeers(
  kernel: Kernel,
  client: WordClient,
  self: (reader?: BoxWord) => BoxWord,
  rules: PeerRules,
): Peers {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const known = new Map<string, Known>();
  const listeners: ((word: BoxWord) => void)[] = [];
  let most = 1;

  const learn = (address: BoxAddress) => {
    if (address.peerAddress === rules.selfAddress || known.has(address.peerAddress)) return;
    known.set(address.peerAddress, {
      address,
      asking: false,
      again: false,
      failures: 0,
      learntAt: clock.now(),
      suspected: false,
    });
    most = Math.max(most, known.size + 1);
  };

  const isNews = (entry: Known, word: BoxWord) => {
    const before = entry.heard?.word;
    return !before || before.incarnation !== word.incarnation || word.beat > before.beat;
  };

  const take = ({ word, known: others }: Exchange) => {
    for (const address of others) learn(address);
    learn({ box: word.box, peerAddress: word.peerAddress });
    const entry = known.get(word.peerAddress);
    if (!entry || !isNews(entry, word)) return;
    if (entry.heard?.word.incarnation !== word.incarnation) {
      logger.event("memberJoined", { box: word.box, incarnation: word.incarnation });
    }
    entry.suspected = false;
    entry.heard = { word, heardAt: clock.now() };
    for (const listener of listeners) listener(word);
  };

  const message = (reader?: BoxWord): Exchange => ({
    word: self(reader),
    known: [...known.values()].map((entry) => entry.address),
  });

  const ask = async (entry: Known): Promise<void> => {
    entry.asking = true;
    entry.again = false;
    const reply = await client.exchange(entry.address.peerAddress, message(entry.heard?.word));
    entry.asking = false;
    reply.ifRight(take).ifLeft(() => void (entry.failures += 1));
    if (entry.again && reply.isRight()) await ask(entry);
  };
  const askUnlessAsked = (entry: Known) => {
    if (!entry.asking) void ask(entry);
  };
  /** Asks now, or as soon as the word that is on its way is answered. */
  const askSoon = (entry: Known) => {
    if (entry.asking) entry.again = true;
    else void ask(entry);
  };

  const suspect = (entry: Known, now: Milliseconds) => {
    if (!entry.heard || entry.suspected) return;
    if (now - entry.heard.heardAt <= rules.suspectMs) return;
    entry.suspected = true;
    const { box, incarnation } = entry.heard.word;
    logger.event("memberSuspected", { box, incarnation });
  };

  const forget = () => {
    const now = clock.now();
    for (const [key, entry] of known) {
      suspect(entry, now);
      const last = entry.heard?.heardAt ?? entry.learntAt;
      if (now - last <= rules.forgetMs) continue;
      known.delete(key);
      logger.event("memberGone", { box: entry.address.box });
    }
  };

  /** Boxes of this round: all of a small deployment, a random part of a large one. */
  const ofRound = (): readonly Known[] => {
    const all = [...known.values()];
    if (all.length <= rules.fanout) return all;
    const chosen = new Set<Known>();
    while (chosen.size < rules.fanout) chosen.add(all[random.below(all.length)]);
    return [...chosen];
  };

  const round = () => {
    forget();
    for (const entry of ofRound()) askUnlessAsked(entry);
  };
  const loop = repeatEvery(clock, random, rules.roundMs, round);

  const heard = (): readonly HeardBox[] =>
    [...known.values()].flatMap((entry) => entry.heard ?? []);

  return {
    learn,
    receive(exchange) {
      take(exchange);
      return message(exchange.word);
    },
    heard: () => heard().filter((box) => clock.now() - box.heardAt <= rules.suspectMs),
    heardMs(incarnation) {
      const box = heard().find((entry) => entry.word.incarnation === incarnation);
      return box && clock.now() - box.heardAt;
    },
    find: (incarnation) => heard().find((box) => box.word.incarnation === incarnation)?.word,
    most: () => most,
    tell(incarnation) {
      const entries = [...known.values()];
      const chosen =
        incarnation === undefined
          ? ofRound()
          : entries.filter((entry) => entry.heard?.word.incarnation === incarnation);
      for (const entry of chosen) askSoon(entry);
    },
    onWord: (listener) => void listeners.push(listener),
    start: loop.start,
    stop: loop.stop,
  };
}
