/**
 * The right to give orders: one box holds it, by a conditional append to a keyed stream. The offset
 * of its claim is the fencing token. The holder proves that no newer claim exists by reading on.
 */
import type { LogFailure } from "@linkfall/errors";
import { clockName, type Kernel, randomName, repeatEvery } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type { KeyedBatch, KeyedStreamPort } from "@linkfall/ports";
import type { Epoch, Incarnation, Milliseconds, Offset } from "@linkfall/types";
import type { LeasePeers, LeaseOptions, OrderLease } from "./contract.js";

const leaseKey = "orders";
/** Stands in place of a holder that has given the right up. */
const releasedHolder = "-";
/** Reads by which the holder proves its lease within the time of one. They do not wait: a store that
 * is silent about changes still answers what it has. */
const proofsOfLease = 6;
/** Checks within which a holder that reads every so often has surely read again. */
const noticeChecks = 3;
/** A holder with a smaller part of its lease left than this has lost the store. */
const lostShare = 0.35;
/** Time that a superseded holder needs to hear of a new claim. */
const noticeMs: Milliseconds = 300;

interface LeaseState {
  /** Newest claim that is known; offset -1 before the first. */
  claim: { readonly holder: Incarnation; readonly offset: Offset };
  /** When this box heard of that claim. */
  claimHeardAt: Milliseconds;
  end: Offset | undefined;
  /** Until when this box may give orders without another proof; as `provenAt`, by the clock's `elapsed`: a lease runs out while its
   * holder sleeps. What other boxes may still do goes by `now`, so that a step of the wall clock never makes this box too early. */
  provenUntil: Milliseconds;
  /** When the last read that proved it was sent. */
  provenAt: Milliseconds;
  /** From when on this box may give orders. */
  from: Milliseconds;
  /** Since when the holder has been silent in this box's eyes. */
  silentSince: Milliseconds | undefined;
  /** When the holder before this box may last have given an order. */
  lastHeardHolder: Milliseconds;
  epochRefused: Epoch;
}

export function createOrderLease(
  kernel: Kernel,
  self: Incarnation,
  stream: KeyedStreamPort,
  peers: LeasePeers,
  rules: LeaseOptions,
): OrderLease {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const startedAt = clock.now();
  const state: LeaseState = {
    claim: { holder: releasedHolder, offset: -1 },
    claimHeardAt: startedAt,
    end: undefined,
    provenUntil: -Infinity,
    provenAt: -Infinity,
    from: Infinity,
    silentSince: undefined,
    lastHeardHolder: startedAt,
    epochRefused: -1,
  };
  let stopping = false;
  let reading = false;

  const epochOf = (offset: Offset): Epoch => offset + 1;
  const mine = () =>
    state.claim.holder === self && epochOf(state.claim.offset) > state.epochRefused;

  const takeClaim = (holder: Incarnation, offset: Offset) => {
    if (offset <= state.claim.offset) return;
    const had = mine();
    state.claim = { holder, offset };
    state.silentSince = undefined;
    state.claimHeardAt = clock.now();
    // A claim of this box that it learns of by reading: its answer was lost, and with it the time
    // until which the holder before may give orders.
    if (holder === self) state.from = clock.now() + rules.leaseMs;
    if (had && holder !== self) {
      logger.event("leaseLost", { pool: leaseKey, epoch: epochOf(offset), holder });
    }
  };

  const takeBatch = (batch: KeyedBatch) => {
    for (const record of batch.records) {
      if (record.key === leaseKey) takeClaim(record.value ?? releasedHolder, record.offset);
    }
    state.end = batch.end;
  };

  const forget = (failure: LogFailure) => {
    if (failure.kind === "log_truncated") state.end = undefined;
  };

  /** Reads on, so that a newer claim is heard of at once and its absence is proven. */
  const prove = async () => {
    if (reading) return;
    reading = true;
    const sentAt = clock.elapsed();
    const read =
      state.end === undefined ? await stream.readNewest() : await stream.readChanges(state.end, 0);
    reading = false;
    read.ifLeft(forget).ifRight((batch) => {
      takeBatch(batch);
      state.provenAt = sentAt;
      if (mine()) state.provenUntil = sentAt + rules.leaseMs;
    });
  };

  /** Until when the holder that this box has heard of may give orders. */
  const holderMayOrderUntil = (holder: Incarnation): Milliseconds => {
    if (holder === releasedHolder || holder === self) return clock.now();
    if (peers.isOwnEarlierIncarnation(holder)) return clock.now();
    const heard = peers.sinceLastMessageMs(holder);
    if (heard !== undefined && heard <= rules.holderTimeoutMs) {
      return clock.now() + peers.remainingLeaseMs(holder);
    }
    // Unheard, it may have proven its lease just now, and go on for the whole of it. Where engines
    // refuse a lower epoch, it is enough that a holder which the store serves has read of the claim.
    const provesEvery = rules.leaseMs / proofsOfLease + noticeChecks * rules.checkMs;
    return clock.now() + (rules.enginesFence ? provesEvery : rules.leaseMs);
  };

  const claim = async () => {
    const before = state.claim.offset;
    const read = await stream.readNewest();
    if (read.isLeft()) return;
    read.ifRight(takeBatch);
    // Somebody else was faster, as the read or another box has told meanwhile.
    if (state.claim.offset !== before && state.claim.holder !== releasedHolder) return;
    const sentAt = clock.elapsed();
    const lastOrderBy = holderMayOrderUntil(state.claim.holder);
    const put = await stream.put(leaseKey, self, state.end);
    put.ifRight((offset) => {
      const first = state.claim.offset < 0;
      takeClaim(self, offset);
      state.end = offset + 1;
      state.provenUntil = sentAt + rules.leaseMs;
      state.from = first ? clock.now() : Math.max(clock.now() + noticeMs, lastOrderBy);
      logger.event("leaseTaken", {
        pool: leaseKey,
        epoch: epochOf(offset),
        ordersInMs: Math.round(state.from - clock.now()),
      });
      peers.announceClaim();
    });
  };

  /** Keeps the right; after a refused order it is claimed anew unless another box has it. */
  const keep = async () => {
    if (mine() && clock.elapsed() - state.provenAt < rules.leaseMs / proofsOfLease) return;
    await prove();
    if (state.claim.holder === self && !mine()) await claim();
  };

  /** Whether the holder, though it is heard, can no longer prove its lease. */
  const hasLostStore = (holder: Incarnation): boolean => {
    const sinceClaim = clock.now() - state.claimHeardAt;
    if (sinceClaim < rules.leaseMs) return false;
    return peers.remainingLeaseMs(holder) < rules.leaseMs * lostShare;
  };

  const holderGone = (): boolean => {
    const { holder } = state.claim;
    if (state.claim.offset < 0 || holder === releasedHolder) return true;
    const heard = peers.sinceLastMessageMs(holder);
    if (heard !== undefined) {
      state.lastHeardHolder = Math.max(state.lastHeardHolder, clock.now() - heard);
    }
    if (peers.isLeaving(holder)) return true;
    if (heard !== undefined && hasLostStore(holder)) return true;
    return clock.now() - state.lastHeardHolder > rules.holderTimeoutMs;
  };

  const check = async () => {
    if (stopping) return;
    if (state.claim.holder === self) return keep();
    // Only this box knows for sure that the holder has ended: it waits for no silence and no turn.
    if (peers.isOwnEarlierIncarnation(state.claim.holder)) return claim();
    if (!holderGone()) {
      state.silentSince = undefined;
      return;
    }
    state.silentSince ??= clock.now();
    const turn = state.silentSince + peers.rank() * rules.rankStepMs;
    if (clock.now() < turn) return;
    await claim();
  };

  const loop = repeatEvery(clock, kernel.find(randomName), rules.checkMs, check);
  return {
    epoch() {
      const now = clock.now();
      if (!mine() || stopping || now < state.from) return undefined;
      if (clock.elapsed() >= state.provenUntil && !peers.isStoreDownForAll()) return undefined;
      return epochOf(state.claim.offset);
    },
    observedLease: () =>
      state.claim.offset < 0
        ? undefined
        : { epoch: epochOf(state.claim.offset), holder: state.claim.holder },
    observe: (word) => takeClaim(word.holder, word.epoch - 1),
    recordRefusal(epoch) {
      state.epochRefused = Math.max(state.epochRefused, epoch);
      logger.event("fenceRefused", { pool: leaseKey, epoch });
    },
    remainingLeaseMs() {
      if (!mine() || stopping) return 0;
      if (peers.isStoreDownForAll()) return rules.leaseMs;
      return Math.max(0, Math.round(state.provenUntil - clock.elapsed()));
    },
    async release() {
      const held = mine();
      stopping = true;
      if (!held || state.end === undefined) return;
      await stream.put(leaseKey, releasedHolder, state.end);
      logger.event("leaseReleased", { pool: leaseKey });
    },
    start: loop.start,
    stop: async () => {
      stopping = true;
      await loop.stop();
    },
  };
}
