/** Strategies for enforcing a target's limit across boxes. */
import type { VirtualClock } from "@linkfall/kernel";
import { createTargetLimits, type TargetLimits } from "@linkfall/target-limits";
import { createTokenBucket, type TokenBucket } from "@linkfall/token-bucket";
import type { Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";
import { isIsolated, type PermitLoad } from "./permit-load.js";

/** A simulated fleet that enforces the limit of one target. */
export interface PermitStrategy {
  /** Waits for a permit to send from a box; resolves to false if none is granted in time. */
  takePermit(box: number): Promise<boolean>;
  /** Handles a response, received by a box, that states the limit. */
  observeLimit(box: number): void;
  /** Restarts the first `boxes` boxes with empty state. */
  restart(boxes: number): void;
  /** Number of messages between boxes so far. */
  messagesSent(): number;
}

export type PermitStrategyFactory = (load: PermitLoad, clock: VirtualClock) => PermitStrategy;

export const targetName = "t1";
/** One-way network latency between boxes. */
const oneWayLatencyMs: Milliseconds = 1.4;
/** Interval between a box's exchanges with the hub, the last box. */
const exchangeIntervalMs: Milliseconds = 400;
/** Time until an isolated box detects that it is disconnected. */
const selfDetectionMs: Milliseconds = 1_000;
/** Time until other boxes detect that an isolated box is silent. */
const silenceDetectionMs: Milliseconds = 1_500;
const maxPermitWaitMs: Milliseconds = 1_000;

const boxIndexes = ({ boxes }: PermitLoad) => Array.from({ length: boxes }, (_, box) => box);
const delay = (clock: VirtualClock, ms: Milliseconds) =>
  new Promise<void>((resolve) => void clock.after(ms, resolve));

/** Creates an independent bucket on each box once the box has observed the limit. */
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

/** Each box enforces the full limit on its own requests. */
export const fullLimitPerBox: PermitStrategyFactory = (load, clock) =>
  createLocalBuckets(load, clock, load.perSecond, Math.max(1, load.perSecond));

/** Each box enforces an equal share of the limit. */
export const equalShares: PermitStrategyFactory = (load, clock) =>
  createLocalBuckets(load, clock, load.perSecond / load.boxes, 1);

/** One box grants permits to the others, by the production implementation. */
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
          isIsolatedFor(0, silenceDetectionMs) ? (load.isolated?.boxes ?? 0) / load.boxes : 0,
        boxCount: () => load.boxes,
      },
      () => undefined,
    );
  const boxes = boxIndexes(load).map(createBox);
  const members = boxIndexes(load).map((box) => ({ incarnation: 1, box }));
  const memberName = (box: number) => `b${box}@${members[box].incarnation}`;
  /** Sends the changes that `to` has not yet applied. */
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
    takePermit: (box) => boxes[box].acquirePermit(targetName, maxPermitWaitMs),
    observeLimit(box) {
      const notice = { kind: "limited", perSecond: load.perSecond } as const;
      boxes[box].recordAnswer({ target: targetName, notice, sentMsAgo: 0, served: true });
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
