/** Ways to keep one account's limit over many boxes, behind one interface. */
import {
  type AccountQuota,
  createAccountQuota,
  type QuotaTolerance,
} from "@linkfall/account-quota";
import { localRate } from "@linkfall/caller-service";
import type { VirtualClock } from "@linkfall/kernel";
import { createTokenBucket } from "@linkfall/token-bucket";
import type { Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { isIsolated, isPartitioned, isLeaderless, type QuotaLoad } from "./quota-load.js";

export interface QuotaStrategy {
  /** Decides on a request that came to a box. */
  admit(box: number, units: number): Promise<boolean>;
  /** All boxes lose what they know. */
  restart(): void;
  /** Messages between boxes so far. */
  messagesSent(): number;
}

export type QuotaStrategyFactory = (load: QuotaLoad, clock: VirtualClock) => QuotaStrategy;

const tolerance: QuotaTolerance = { windowSeconds: 8, overage: 0.1, slack: 110_000 };
/** One way between boxes. */
const oneWayLatencyMs: Milliseconds = 1.4;
/** Time between two exchanges of a box with the one that hears all. */
const exchangeIntervalMs: Milliseconds = 400;
/** A box that is cut off knows it after this time. */
const selfDetectionMs: Milliseconds = 1_000;
/** A box that is cut off is known to be silent after this time. */
const silenceDetectionMs: Milliseconds = 1_500;
const usageDecayMs: Milliseconds = 1_000;
const millisecondsPerSecond = 1000;

const boxIndexes = ({ boxes }: QuotaLoad) => Array.from({ length: boxes }, (_, box) => box);
const delay = (clock: VirtualClock, ms: Milliseconds) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

/** Calls `exchange` for each box each round, unless a cut lies between it and the box that hears all. */
function scheduleExchanges(
  load: QuotaLoad,
  clock: VirtualClock,
  exchange: (box: number) => void,
): void {
  for (const box of boxIndexes(load)) {
    const runExchange = () => {
      const hub = load.boxes - 1;
      if (!isIsolated(load, box, clock.now()) && !isIsolated(load, hub, clock.now())) exchange(box);
      clock.after(exchangeIntervalMs, runExchange);
    };
    clock.after((exchangeIntervalMs * box) / load.boxes, runExchange);
  }
}

/** Each box has the part of the rate that its own traffic is of all, as heartbeats tell. */
export const sharesByTraffic: QuotaStrategyFactory = (load, clock) => {
  const create = () =>
    boxIndexes(load).map(() => {
      const rate = load.perSecond / load.boxes;
      return {
        used: 0,
        usedAt: 0,
        total: undefined as number | undefined,
        bucket: createTokenBucket(clock, { rate, burst: rate }),
      };
    });
  let boxes = create();
  let sent = 0;
  const rateOf = (box: number) =>
    boxes[box].used * Math.exp(-(clock.now() - boxes[box].usedAt) / usageDecayMs);
  scheduleExchanges(load, clock, (box) => {
    sent += 2;
    boxes[box].total = boxIndexes(load).reduce((sum, other) => sum + rateOf(other), 0);
  });
  return {
    async admit(box, units) {
      const own = boxes[box];
      own.used = rateOf(box) + units * (millisecondsPerSecond / usageDecayMs);
      own.usedAt = clock.now();
      const rate = localRate(load.perSecond, own.used, own.total, load.boxes);
      own.bucket.setLimits({ rate, burst: Math.max(rate, units) });
      return own.bucket.take(units);
    },
    restart: () => void (boxes = create()),
    messagesSent: () => sent,
  };
};

/** Each box counts for itself and hears by heartbeats what the others have let through. */
export const countsFromHeartbeats: QuotaStrategyFactory = (load, clock) => {
  const create = () =>
    boxIndexes(load).map(() => ({
      admitted: 0,
      othersCounted: 0,
      level: load.perSecond,
      filledAt: clock.now(),
    }));
  let boxes = create();
  let sent = 0;
  const refillBucket = (box: number) => {
    const state = boxes[box];
    const refill = ((clock.now() - state.filledAt) * load.perSecond) / millisecondsPerSecond;
    state.level = Math.min(load.perSecond, state.level + refill);
    state.filledAt = clock.now();
    return state;
  };
  scheduleExchanges(load, clock, (box) => {
    sent += 2;
    const state = refillBucket(box);
    const others =
      boxIndexes(load).reduce((sum, other) => sum + boxes[other].admitted, 0) - state.admitted;
    state.level -= others - state.othersCounted;
    state.othersCounted = others;
  });
  return {
    async admit(box, units) {
      const state = refillBucket(box);
      if (state.level <= 0) return false;
      state.level -= units;
      state.admitted += units;
      return true;
    },
    restart: () => void (boxes = create()),
    messagesSent: () => sent,
  };
};

/** One box allocates for the account; the program's own code. */
export const singleAllocator: QuotaStrategyFactory = (load, clock) => {
  let sent = 0;
  const isIsolatedFor = (box: number, ms: Milliseconds) =>
    isIsolated(load, box, clock.now()) && isIsolated(load, box, clock.now() - ms);
  const isDisconnected = (one: number, other: number) =>
    isIsolated(load, one, clock.now()) !== isIsolated(load, other, clock.now()) ||
    isPartitioned(load, one, other, clock.now());
  const create = (): AccountQuota[] =>
    boxIndexes(load).map((box) =>
      createAccountQuota(
        clock,
        {
          self: String(box),
          allocators: () =>
            boxIndexes(load)
              .filter(
                (other) =>
                  !isDisconnected(box, other) ||
                  !isIsolatedFor(Math.min(box, other), silenceDetectionMs),
              )
              .map(String),
          async sendRequest(address, request) {
            sent += 2;
            const other = Number(address);
            await delay(clock, oneWayLatencyMs);
            if (isDisconnected(box, other)) {
              return Left({ kind: "peer_unreachable", reason: "cut", mayHaveArrived: false });
            }
            const grant = await boxes[other].allocate(request);
            await delay(clock, oneWayLatencyMs);
            return Right(grant);
          },
          connected: () => !isIsolatedFor(box, selfDetectionMs) && !isLeaderless(load, clock.now()),
          ownShare: () => 1 / load.boxes,
          silentShare: () =>
            isIsolatedFor(0, silenceDetectionMs) ? (load.cut?.boxes ?? 0) / load.boxes : 0,
        },
        tolerance,
      ),
    );
  let boxes = create();
  const limit = {
    unit: "tokens",
    perSecond: load.perSecond,
    burst: load.perSecond,
    plainTokens: 200,
  } as const;
  const account = { name: "a", keys: [], limit };
  return {
    async admit(box, units) {
      return (await boxes[box].admit({ account, units, version: 1 })).kind === "admitted";
    },
    restart: () => void (boxes = create()),
    messagesSent: () => sent,
  };
};

export const quotaStrategies: Readonly<Record<string, QuotaStrategyFactory>> = {
  "parts by traffic": sharesByTraffic,
  "told by heartbeats": countsFromHeartbeats,
  "allocated by one box": singleAllocator,
};
