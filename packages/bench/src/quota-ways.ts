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
import { isCut, isSevered, isUnled, type QuotaLoad } from "./quota-load.js";

export interface QuotaWay {
  /** Decides on a request that came to a box. */
  admit(box: number, units: number): Promise<boolean>;
  /** All boxes lose what they know. */
  restart(): void;
  /** Messages between boxes so far. */
  messages(): number;
}

export type WayMaker = (load: QuotaLoad, clock: VirtualClock) => QuotaWay;

const tolerance: QuotaTolerance = { windowSeconds: 8, overage: 0.1, slack: 110_000 };
/** One way between boxes. */
const wireMs: Milliseconds = 1.4;
/** Time between two exchanges of a box with the one that hears all. */
const roundMs: Milliseconds = 400;
/** A box that is cut off knows it after this time. */
const cutOffMs: Milliseconds = 1_000;
/** A box that is cut off is known to be silent after this time. */
const noticedMs: Milliseconds = 1_500;
const useMs: Milliseconds = 1_000;
const millisecondsPerSecond = 1000;

const boxesOf = ({ boxes }: QuotaLoad) => Array.from({ length: boxes }, (_, box) => box);
const wait = (clock: VirtualClock, ms: Milliseconds) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

/** Calls `exchange` for each box each round, unless a cut lies between it and the box that hears all. */
function everyRound(load: QuotaLoad, clock: VirtualClock, exchange: (box: number) => void): void {
  for (const box of boxesOf(load)) {
    const round = () => {
      const hub = load.boxes - 1;
      if (!isCut(load, box, clock.now()) && !isCut(load, hub, clock.now())) exchange(box);
      clock.after(roundMs, round);
    };
    clock.after((roundMs * box) / load.boxes, round);
  }
}

/** Each box has the part of the rate that its own traffic is of all, as heartbeats tell. */
export const partsByTraffic: WayMaker = (load, clock) => {
  const create = () =>
    boxesOf(load).map(() => {
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
    boxes[box].used * Math.exp(-(clock.now() - boxes[box].usedAt) / useMs);
  everyRound(load, clock, (box) => {
    sent += 2;
    boxes[box].total = boxesOf(load).reduce((sum, other) => sum + rateOf(other), 0);
  });
  return {
    async admit(box, units) {
      const own = boxes[box];
      own.used = rateOf(box) + units * (millisecondsPerSecond / useMs);
      own.usedAt = clock.now();
      const rate = localRate(load.perSecond, own.used, own.total, load.boxes);
      own.bucket.setLimits({ rate, burst: Math.max(rate, units) });
      return own.bucket.take(units);
    },
    restart: () => void (boxes = create()),
    messages: () => sent,
  };
};

/** Each box counts for itself and hears by heartbeats what the others have let through. */
export const toldByHeartbeats: WayMaker = (load, clock) => {
  const create = () =>
    boxesOf(load).map(() => ({
      own: 0,
      othersTaken: 0,
      level: load.perSecond,
      filledAt: clock.now(),
    }));
  let boxes = create();
  let sent = 0;
  const fill = (box: number) => {
    const state = boxes[box];
    const gained = ((clock.now() - state.filledAt) * load.perSecond) / millisecondsPerSecond;
    state.level = Math.min(load.perSecond, state.level + gained);
    state.filledAt = clock.now();
    return state;
  };
  everyRound(load, clock, (box) => {
    sent += 2;
    const state = fill(box);
    const others = boxesOf(load).reduce((sum, other) => sum + boxes[other].own, 0) - state.own;
    state.level -= others - state.othersTaken;
    state.othersTaken = others;
  });
  return {
    async admit(box, units) {
      const state = fill(box);
      if (state.level <= 0) return false;
      state.level -= units;
      state.own += units;
      return true;
    },
    restart: () => void (boxes = create()),
    messages: () => sent,
  };
};

/** One box allocates for the account; the program's own code. */
export const allocatedByOne: WayMaker = (load, clock) => {
  let sent = 0;
  const cutFor = (box: number, ms: Milliseconds) =>
    isCut(load, box, clock.now()) && isCut(load, box, clock.now() - ms);
  const isApart = (one: number, other: number) =>
    isCut(load, one, clock.now()) !== isCut(load, other, clock.now()) ||
    isSevered(load, one, other, clock.now());
  const create = (): AccountQuota[] =>
    boxesOf(load).map((box) =>
      createAccountQuota(
        clock,
        {
          self: String(box),
          allocators: () =>
            boxesOf(load)
              .filter((other) => !isApart(box, other) || !cutFor(Math.min(box, other), noticedMs))
              .map(String),
          async sendRequest(address, ask) {
            sent += 2;
            const other = Number(address);
            await wait(clock, wireMs);
            if (isApart(box, other)) {
              return Left({ kind: "peer_unreachable", reason: "cut", mayHaveArrived: false });
            }
            const grant = await boxes[other].allocate(ask);
            await wait(clock, wireMs);
            return Right(grant);
          },
          connected: () => !cutFor(box, cutOffMs) && !isUnled(load, clock.now()),
          ownShare: () => 1 / load.boxes,
          silentShare: () => (cutFor(0, noticedMs) ? (load.cut?.boxes ?? 0) / load.boxes : 0),
        },
        tolerance,
      ),
    );
  let boxes = create();
  const limit = {
    unit: "tokens",
    perSecond: load.perSecond,
    burst: load.perSecond,
    defaultTokens: 200,
  } as const;
  const account = { name: "a", keys: [], limit };
  return {
    async admit(box, units) {
      return (await boxes[box].admit({ account, units, version: 1 })).kind === "admitted";
    },
    restart: () => void (boxes = create()),
    messages: () => sent,
  };
};

export const quotaWays: Readonly<Record<string, WayMaker>> = {
  "parts by traffic": partsByTraffic,
  "told by heartbeats": toldByHeartbeats,
  "allocated by one box": allocatedByOne,
};
