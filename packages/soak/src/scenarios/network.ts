/** The links between processes: delay, loss, cuts, late and repeated messages. */
import type { PeerUnreachable, TargetUnreachable } from "@linkfall/errors";
import { type Clock, type Random, sleep } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left } from "purify-ts";

/** Rates of faults on every link, from 0 to 1. */
export interface LinkFaults {
  loss: number;
  /** Share of orders that arrive long after they were sent. */
  lateOrders: number;
  /** Share of orders that arrive twice. */
  repeatedOrders: number;
  /** Share of streams that are cut on the way. */
  cutStreams: number;
}

export interface Network {
  readonly faults: LinkFaults;
  /** Cuts messages from one process to another, in this direction only. */
  cut(from: string, to: string): void;
  heal(from: string, to: string): void;
  healAll(): void;
  isCut(from: string, to: string): boolean;
  /** Time for which a link has been whole; 0 while it is cut. */
  wholeFor(from: string, to: string): Milliseconds;
  /** Sends a request and brings back its answer, as far as the links let it. */
  exchange<F, T>(
    from: string,
    to: string,
    lost: (mayHaveArrived: boolean) => F,
    act: () => Promise<Either<F, T>>,
  ): Promise<Either<F, T>>;
  /** A body that may be cut on its way. */
  carry(from: string, to: string, body: AsyncIterable<BodyPart>): AsyncIterable<BodyPart>;
  /** Delivers a message later, and perhaps once more, without an answer. */
  deliverLate(act: () => void): void;
}

const shortestDelay: Milliseconds = 0.5;
const delaySpread: Milliseconds = 3;
const answerLimit: Milliseconds = 1_500;
const latestOrder: Milliseconds = 12_000;

export function targetLost(mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason: "lost on the way", mayHaveArrived };
}

export function peerLost(mayHaveArrived: boolean): PeerUnreachable {
  return { kind: "peer_unreachable", reason: "lost on the way", mayHaveArrived };
}

/** Creates a network without faults. */
export function createNetwork(clock: Clock, random: Random): Network {
  /** How many faults cut a link; it is whole again when the last of them ends. */
  const cuts = new Map<string, number>();
  const faults: LinkFaults = { loss: 0, lateOrders: 0, repeatedOrders: 0, cutStreams: 0 };
  const key = (from: string, to: string) => `${from}>${to}`;
  const isCut = (from: string, to: string) => cuts.has(key(from, to));
  const healedAt = new Map<string, Milliseconds>();
  const makeWhole = (link: string) => {
    cuts.delete(link);
    healedAt.set(link, clock.now());
  };
  const delay = () => sleep(clock, shortestDelay + random.nextFloat() * delaySpread);
  const isLost = () => random.nextFloat() < faults.loss;
  return {
    faults,
    cut: (from, to) => void cuts.set(key(from, to), (cuts.get(key(from, to)) ?? 0) + 1),
    heal(from, to) {
      const left = (cuts.get(key(from, to)) ?? 0) - 1;
      if (left > 0) cuts.set(key(from, to), left);
      else makeWhole(key(from, to));
    },
    healAll() {
      for (const link of [...cuts.keys()]) makeWhole(link);
    },
    isCut,
    wholeFor: (from, to) =>
      isCut(from, to) ? 0 : clock.now() - (healedAt.get(key(from, to)) ?? -Infinity),
    async exchange(from, to, lost, act) {
      await delay();
      if (isCut(from, to)) return Left(lost(false));
      if (isLost()) {
        await sleep(clock, answerLimit);
        return Left(lost(true));
      }
      const answer = await act();
      await delay();
      if (!isCut(to, from) && !isLost()) return answer;
      await sleep(clock, answerLimit);
      return Left(lost(true));
    },
    async *carry(from, to, body) {
      const cutAfter = random.nextFloat() < faults.cutStreams ? random.nextInt(8) : Infinity;
      let count = 0;
      for await (const part of body) {
        if (count++ >= cutAfter || isCut(from, to)) {
          yield Left(targetLost(true));
          return;
        }
        yield part;
      }
    },
    deliverLate(act) {
      clock.after(random.nextFloat() * latestOrder, act);
    },
  };
}
