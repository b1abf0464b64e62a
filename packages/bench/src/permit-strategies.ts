/** Ways to keep a target's limit over many boxes, behind one interface. */
import type { VirtualClock } from "@linkfall/kernel";
import { createTargetLimits, type TargetLimits } from "@linkfall/target-limits";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";
import type { Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { isIsolated, type PermitLoad } from "./permit-load.js";

export interface PermitStrategy {
  /** Resolves when a box may send; false where it may not. */
  takePermit(box: number): Promise<boolean>;
  /** A box has read an answer that names the limit. */
  observeLimit(box: number): void;
  /** The first boxes lose what they know. */
  restart(boxes: number): void;
  /** Messages between boxes so far. */
  messagesSent(): number;
}

export type PermitStrategyFactory = (load: PermitLoad, clock: VirtualClock) => PermitStrategy;

export const target = "t1";
/** One way between boxes. */
const oneWayLatencyMs: Milliseconds = 1.4;
/** Time between two exchanges of a box with the one that hears all. */
const exchangeIntervalMs: Milliseconds = 400;
/** A box that is cut off knows it after this time. */
const selfDetectionMs: Milliseconds = 1_000;
/** A box that is cut off is known to be silent after this time. */
const silenceDetectionMs: Milliseconds = 1_500;
/** Longest time that a request waits for its permit. */
const maxPermitWaitMs: Milliseconds = 1_000;

const boxIndexes = ({ boxes }: PermitLoad) => Array.from({ length: boxes }, (_, box) => box);
const delay = (clock: VirtualClock, ms: Milliseconds) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

/** A bucket of its own at each box that has heard the limit. */
function createLocalBuckets(
  load: PermitLoad,
  clock: VirtualClock,
  rate: number,
  burst: number,
): PermitStrategy {
  let buckets = new Map<number, TokenBucket>();
  return {
    takePermit: async (box) => buckets.get(box)?.take() ?? true,
    observeLimit(box) {
      if (!buckets.has(box)) buckets.set(box, createTokenBucket(clock, { rate, burst }, 0));
    },
    restart(boxes) {
      buckets = new Map([...buckets].filter(([box]) => box >= boxes));
    },
    messagesSent: () => 0,
  };
}

/** Each box keeps the limit as if it were its own. */
export const fullLimitPerBox: PermitStrategyFactory = (load, clock) =>
  createLocalBuckets(load, clock, load.perSecond, Math.max(1, load.perSecond));

/** Each box has an equal part of the limit. */
export const equalShares: PermitStrategyFactory = (load, clock) =>
  createLocalBuckets(load, clock, load.perSecond / load.boxes, 1);

/** One box hands out the permits; the program's own code. */
export const singleAllocator: PermitStrategyFactory = (load, clock) => {
  let sent = 0;
  const isIsolatedFor = (box: number, ms: Milliseconds) =>
    isIsolated(load, box, clock.now()) && isIsolated(load, box, clock.now() - ms);
  const isDisconnected = (one: number, other: number) =>
    isIsolated(load, one, clock.now()) !== isIsolated(load, other, clock.now());
  const createBox = (box: number): TargetLimits =>
    createTargetLimits(
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
        connected: () => !isIsolatedFor(box, selfDetectionMs),
        ownShare: () => 1 / load.boxes,
        silentShare: () =>
          isIsolatedFor(0, silenceDetectionMs) ? (load.cut?.boxes ?? 0) / load.boxes : 0,
        boxCount: () => load.boxes,
      },
      () => undefined,
    );
  const boxes = boxIndexes(load).map(createBox);
  const members = boxIndexes(load).map((box) => ({ incarnation: 1, box }));
  const memberName = (box: number) => `b${box}@${members[box].incarnation}`;
  /** What box `from` knows and `to` does not. */
  const sendChanges = (from: number, to: number) => {
    if (isDisconnected(from, to)) return;
    boxes[to].applyChanges(
      memberName(from),
      boxes[from].changesSince(boxes[to].appliedSequence(memberName(from))),
    );
  };
  const hub = load.boxes - 1;
  for (const box of boxIndexes(load)) {
    const runExchange = () => {
      sendChanges(box, hub);
      sendChanges(hub, box);
      clock.after(exchangeIntervalMs, runExchange);
    };
    clock.after((exchangeIntervalMs * box) / load.boxes, runExchange);
  }
  return {
    takePermit: (box) => boxes[box].acquirePermit(target, maxPermitWaitMs),
    observeLimit(box) {
      const notice = { kind: "limited", perSecond: load.perSecond } as const;
      boxes[box].recordAnswer({ target, notice, sentMsAgo: 0, served: true });
    },
    restart(count) {
      for (const box of boxIndexes(load).slice(0, count)) {
        boxes[box] = createBox(box);
        members[box].incarnation += 1;
      }
    },
    messagesSent: () => sent,
  };
};

export const permitStrategies: Readonly<Record<string, PermitStrategyFactory>> = {
  "each box for itself": fullLimitPerBox,
  "equal parts": equalShares,
  "handed out by one box": singleAllocator,
};
