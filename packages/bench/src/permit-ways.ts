/** Ways to keep a target's limit over many boxes, behind one interface. */
import type { VirtualClock } from "@linkfall/kernel";
import { createTargetLimits, type TargetLimits } from "@linkfall/target-limits";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";
import type { Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { isCutOff, type PermitLoad } from "./permit-load.js";

export interface PermitWay {
  /** Resolves when a box may send; false where it may not. */
  takePermit(box: number): Promise<boolean>;
  /** A box has read an answer that names the limit. */
  hear(box: number): void;
  /** The first boxes lose what they know. */
  restart(boxes: number): void;
  /** Messages between boxes so far. */
  messages(): number;
}

export type PermitWayMaker = (load: PermitLoad, clock: VirtualClock) => PermitWay;

export const target = "t1";
/** One way between boxes. */
const wireMs: Milliseconds = 1.4;
/** Time between two exchanges of a box with the one that hears all. */
const roundMs: Milliseconds = 400;
/** A box that is cut off knows it after this time. */
const cutOffMs: Milliseconds = 1_000;
/** A box that is cut off is known to be silent after this time. */
const noticedMs: Milliseconds = 1_500;
/** Longest time that a request waits for its permit. */
const withinMs: Milliseconds = 1_000;

const boxesOf = ({ boxes }: PermitLoad) => Array.from({ length: boxes }, (_, box) => box);
const wait = (clock: VirtualClock, ms: Milliseconds) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

/** A bucket of its own at each box that has heard the limit. */
function bucketWay(load: PermitLoad, clock: VirtualClock, rate: number, burst: number): PermitWay {
  let buckets = new Map<number, TokenBucket>();
  return {
    takePermit: async (box) => buckets.get(box)?.take() ?? true,
    hear(box) {
      if (!buckets.has(box)) buckets.set(box, createTokenBucket(clock, { rate, burst }, 0));
    },
    restart(boxes) {
      buckets = new Map([...buckets].filter(([box]) => box >= boxes));
    },
    messages: () => 0,
  };
}

/** Each box keeps the limit as if it were its own. */
export const eachForItself: PermitWayMaker = (load, clock) =>
  bucketWay(load, clock, load.perSecond, Math.max(1, load.perSecond));

/** Each box has an equal part of the limit. */
export const equalParts: PermitWayMaker = (load, clock) =>
  bucketWay(load, clock, load.perSecond / load.boxes, 1);

/** One box hands out the permits; the program's own code. */
export const handedOutByOne: PermitWayMaker = (load, clock) => {
  let sent = 0;
  const cutFor = (box: number, ms: Milliseconds) =>
    isCutOff(load, box, clock.now()) && isCutOff(load, box, clock.now() - ms);
  const isApart = (one: number, other: number) =>
    isCutOff(load, one, clock.now()) !== isCutOff(load, other, clock.now());
  const createBox = (box: number): TargetLimits =>
    createTargetLimits(
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
        connected: () => !cutFor(box, cutOffMs),
        ownShare: () => 1 / load.boxes,
        silentShare: () => (cutFor(0, noticedMs) ? (load.cut?.boxes ?? 0) / load.boxes : 0),
        boxCount: () => load.boxes,
      },
      () => undefined,
    );
  const boxes = boxesOf(load).map(createBox);
  const names = boxesOf(load).map((box) => ({ life: 1, box }));
  const nameOf = (box: number) => `b${box}@${names[box].life}`;
  /** What box `from` knows and `to` does not. */
  const tell = (from: number, to: number) => {
    if (isApart(from, to)) return;
    boxes[to].applyChanges(
      nameOf(from),
      boxes[from].changesSince(boxes[to].appliedSequence(nameOf(from))),
    );
  };
  const hub = load.boxes - 1;
  for (const box of boxesOf(load)) {
    const round = () => {
      tell(box, hub);
      tell(hub, box);
      clock.after(roundMs, round);
    };
    clock.after((roundMs * box) / load.boxes, round);
  }
  return {
    takePermit: (box) => boxes[box].acquirePermit(target, withinMs),
    hear(box) {
      const notice = { kind: "limited", perSecond: load.perSecond } as const;
      boxes[box].recordAnswer({ target, notice, sentMsAgo: 0, served: true });
    },
    restart(count) {
      for (const box of boxesOf(load).slice(0, count)) {
        boxes[box] = createBox(box);
        names[box].life += 1;
      }
    },
    messages: () => sent,
  };
};

export const permitWays: Readonly<Record<string, PermitWayMaker>> = {
  "each box for itself": eachForItself,
  "equal parts": equalParts,
  "handed out by one box": handedOutByOne,
};
