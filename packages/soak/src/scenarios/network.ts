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
  connectedForMs(from: string, to: string): Milliseconds;
  /** Sends a request and brings back its answer, as far as the links let it. */
  exchange<F, T>(
    from: string,
    to: string,
    createLoss: (mayHaveArrived: boolean) => F,
    perform: () => Promise<Either<F, T>>,
  ): Promise<Either<F, T>>;
  /** A body that may be cut on its way. */
  transferBody(from: string, to: string, body: AsyncIterable<BodyPart>): AsyncIterable<BodyPart>;
  /** Delivers a message later, and perhaps once more, without an answer. */
  deliverLate(act: () => void): void;
}

const minDelayMs: Milliseconds = 0.5;
const delaySpreadMs: Milliseconds = 3;
const lossTimeoutMs: Milliseconds = 1_500;
const maxLateDeliveryMs: Milliseconds = 12_000;

export function targetLost(mayHaveArrived: boolean): TargetUnreachable {
  return { kind: "target_unreachable", reason: "lost on the way", mayHaveArrived };
}

export function peerLost(mayHaveArrived: boolean): PeerUnreachable {
  return { kind: "peer_unreachable", reason: "lost on the way", mayHaveArrived };
}

/** Creates a network without faults. */
export function createNetwork(clock: Clock, random: Random): Network {
  /** How many faults cut a link; it is whole again when the last of them ends. */
  const cutCounts = new Map<string, number>();
  const faults: LinkFaults = { loss: 0, lateOrders: 0, repeatedOrders: 0, cutStreams: 0 };
  const linkKey = (from: string, to: string) => `${from}>${to}`;
  const isCut = (from: string, to: string) => cutCounts.has(linkKey(from, to));
  const healedAt = new Map<string, Milliseconds>();
  const restoreLink = (link: string) => {
    cutCounts.delete(link);
    healedAt.set(link, clock.now());
  };
  const delay = () => sleep(clock, minDelayMs + random.nextFloat() * delaySpreadMs);
  const isLost = () => random.nextFloat() < faults.loss;
  return {
    faults,
    cut: (from, to) =>
      void cutCounts.set(linkKey(from, to), (cutCounts.get(linkKey(from, to)) ?? 0) + 1),
    heal(from, to) {
      const remainingCuts = (cutCounts.get(linkKey(from, to)) ?? 0) - 1;
      if (remainingCuts > 0) cutCounts.set(linkKey(from, to), remainingCuts);
      else restoreLink(linkKey(from, to));
    },
    healAll() {
      for (const link of [...cutCounts.keys()]) restoreLink(link);
    },
    isCut,
    connectedForMs: (from, to) =>
      isCut(from, to) ? 0 : clock.now() - (healedAt.get(linkKey(from, to)) ?? -Infinity),
    async exchange(from, to, createLoss, perform) {
      await delay();
      if (isCut(from, to)) return Left(createLoss(false));
      if (isLost()) {
        await sleep(clock, lossTimeoutMs);
        return Left(createLoss(true));
      }
      const answer = await perform();
      await delay();
      if (!isCut(to, from) && !isLost()) return answer;
      await sleep(clock, lossTimeoutMs);
      return Left(createLoss(true));
    },
    async *transferBody(from, to, body) {
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
      clock.after(random.nextFloat() * maxLateDeliveryMs, act);
    },
  };
}
