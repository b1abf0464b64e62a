/**
 * Lease on sending orders, claimed by a conditional append to a keyed stream. The offset of the claim determines the epoch,
 * which serves as fencing token. The holder proves that there is no newer claim by reading the stream.
 */
import type { LogFailure } from "@linkfall/errors";
import { clockName, type Kernel, randomName, repeatEvery } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import type { KeyedBatch, KeyedStreamPort } from "@linkfall/ports";
import type { Epoch, Incarnation, Milliseconds, Offset } from "@linkfall/types";
import type { LeaseOptions, LeasePeers, OrderLease } from "./contract.js";

const leaseKey = "orders";
/** Marks a released lease in place of the holder. */
const releasedHolder = "-";
/** Proof reads per lease time. They don't wait for changes, so an idle stream is answered at once. */
const proofsPerLease = 6;
/** Check intervals added to the proof interval, after which a holder has certainly read the stream again. */
const proofMarginChecks = 3;
/** A holder with a smaller share of its lease left is presumed to have lost the store. */
const minRemainingShare = 0.35;
/** Time in which a superseded holder is notified of a new claim. */
const claimNoticeMs: Milliseconds = 300;

interface LeaseState {
  /** Newest observed claim; offset -1 before the first. */
  claim: { readonly holder: Incarnation; readonly offset: Offset };
  /** When this box observed that claim. */
  claimObservedAt: Milliseconds;
  /** Offset at which the next read starts; undefined if it reads the newest records. */
  nextOffset: Offset | undefined;
  /**
   * When the current proof expires. This and `provenAt` use `elapsed`, which includes suspensions of the machine, as leases
   * expire during them. Times of other boxes use `now`, to never end early because of a clock step.
   */
  provenUntil: Milliseconds;
  /** When the newest successful read was sent. */
  provenAt: Milliseconds;
  /** When this box may start to send orders. */
  ordersFrom: Milliseconds;
  /** When this box found the holder gone. */
  holderGoneSince: Milliseconds | undefined;
  /** When the holder last sent a message. */
  holderLastSeenAt: Milliseconds;
  /** Highest epoch rejected by an engine. */
  rejectedEpoch: Epoch;
}

/** Creates the lease of one box, which claims and renews it while it is started. */
export function createOrderLease(
  kernel: Kernel,
  self: Incarnation,
  stream: KeyedStreamPort,
  peers: LeasePeers,
  options: LeaseOptions,
): OrderLease {
  const clock = kernel.find(clockName);
  const logger = kernel.find(loggerName);
  const startedAt = clock.now();
  const state: LeaseState = {
    claim: { holder: releasedHolder, offset: -1 },
    claimObservedAt: startedAt,
    nextOffset: undefined,
    provenUntil: -Infinity,
    provenAt: -Infinity,
    ordersFrom: Infinity,
    holderGoneSince: undefined,
    holderLastSeenAt: startedAt,
    rejectedEpoch: -1,
  };
  let stopping = false;
  let reading = false;

  const epochOf = (offset: Offset): Epoch => offset + 1;
  const isHeld = () =>
    state.claim.holder === self && epochOf(state.claim.offset) > state.rejectedEpoch;

  const applyClaim = (holder: Incarnation, offset: Offset) => {
    if (offset <= state.claim.offset) return;
    const wasHeld = isHeld();
    state.claim = { holder, offset };
    state.holderGoneSince = undefined;
    state.claimObservedAt = clock.now();
    // This box's claim is found by reading if its response was lost. The time until which the previous holder may send orders
    // is then unknown, and at most a full lease.
    if (holder === self) state.ordersFrom = clock.now() + options.leaseMs;
    if (wasHeld && holder !== self) {
      logger.event("leaseLost", { pool: leaseKey, epoch: epochOf(offset), holder });
    }
  };

  const applyBatch = (batch: KeyedBatch) => {
    for (const record of batch.records) {
      if (record.key === leaseKey) applyClaim(record.value ?? releasedHolder, record.offset);
    }
    state.nextOffset = batch.end;
  };

  const handleReadFailure = (failure: LogFailure) => {
    if (failure.kind === "log_truncated") state.nextOffset = undefined;
  };

  /** Reads the stream, which either shows a newer claim or proves that there is none. */
  const prove = async () => {
    if (reading) return;
    reading = true;
    const sentAt = clock.elapsed();
    const read =
      state.nextOffset === undefined
        ? await stream.readNewest()
        : await stream.readChanges(state.nextOffset, 0);
    reading = false;
    read.ifLeft(handleReadFailure).ifRight((batch) => {
      applyBatch(batch);
      state.provenAt = sentAt;
      if (isHeld()) state.provenUntil = sentAt + options.leaseMs;
    });
  };

  /** Returns the time until which the observed holder may send orders. */
  const holderOrdersUntil = (holder: Incarnation): Milliseconds => {
    if (holder === releasedHolder || holder === self) return clock.now();
    if (peers.isOwnEarlierIncarnation(holder)) return clock.now();
    const sinceLastMessageMs = peers.sinceLastMessageMs(holder);
    if (sinceLastMessageMs !== undefined && sinceLastMessageMs <= options.holderTimeoutMs) {
      return clock.now() + peers.remainingLeaseMs(holder);
    }
    // Without contact, the holder may have just proven its lease. If engines reject lower epochs, it is enough to wait until a
    // holder that reaches the store has read the new claim.
    const proofIntervalMs = options.leaseMs / proofsPerLease + proofMarginChecks * options.checkMs;
    return clock.now() + (options.enginesFence ? proofIntervalMs : options.leaseMs);
  };

  const claim = async () => {
    const offsetBefore = state.claim.offset;
    const read = await stream.readNewest();
    if (read.isLeft()) return;
    read.ifRight(applyBatch);
    // Another box has claimed the lease since.
    if (state.claim.offset !== offsetBefore && state.claim.holder !== releasedHolder) return;
    const sentAt = clock.elapsed();
    const previousHolderOrdersUntil = holderOrdersUntil(state.claim.holder);
    const appended = await stream.put(leaseKey, self, state.nextOffset);
    appended.ifRight(({ offset }) => {
      const isFirst = state.claim.offset < 0;
      applyClaim(self, offset);
      state.nextOffset = offset + 1;
      state.provenUntil = sentAt + options.leaseMs;
      state.ordersFrom = isFirst
        ? clock.now()
        : Math.max(clock.now() + claimNoticeMs, previousHolderOrdersUntil);
      logger.event("leaseTaken", {
        pool: leaseKey,
        epoch: epochOf(offset),
        ordersInMs: Math.round(state.ordersFrom - clock.now()),
      });
      peers.announceClaim();
    });
  };

  /** Proves the lease when due; after a rejected order, claims it again unless another box holds it. */
  const renew = async () => {
    if (isHeld() && clock.elapsed() - state.provenAt < options.leaseMs / proofsPerLease) return;
    await prove();
    if (state.claim.holder === self && !isHeld()) await claim();
  };

  /** Whether a holder that still sends messages can no longer prove its lease. */
  const hasLostStore = (holder: Incarnation): boolean => {
    const sinceClaim = clock.now() - state.claimObservedAt;
    if (sinceClaim < options.leaseMs) return false;
    return peers.remainingLeaseMs(holder) < options.leaseMs * minRemainingShare;
  };

  const isHolderGone = (): boolean => {
    const { holder } = state.claim;
    if (state.claim.offset < 0 || holder === releasedHolder) return true;
    const sinceLastMessageMs = peers.sinceLastMessageMs(holder);
    if (sinceLastMessageMs !== undefined) {
      state.holderLastSeenAt = Math.max(state.holderLastSeenAt, clock.now() - sinceLastMessageMs);
    }
    if (peers.isLeaving(holder)) return true;
    if (sinceLastMessageMs !== undefined && hasLostStore(holder)) return true;
    return clock.now() - state.holderLastSeenAt > options.holderTimeoutMs;
  };

  const check = async () => {
    if (stopping) return;
    if (state.claim.holder === self) return renew();
    // An earlier incarnation of this box has certainly ended, so there is no need to wait.
    if (peers.isOwnEarlierIncarnation(state.claim.holder)) return claim();
    if (!isHolderGone()) {
      state.holderGoneSince = undefined;
      return;
    }
    state.holderGoneSince ??= clock.now();
    const claimAt = state.holderGoneSince + peers.rank() * options.rankStepMs;
    if (clock.now() < claimAt) return;
    await claim();
  };

  const loop = repeatEvery(clock, kernel.find(randomName), options.checkMs, check);
  return {
    epoch() {
      const now = clock.now();
      if (!isHeld() || stopping || now < state.ordersFrom) return undefined;
      if (clock.elapsed() >= state.provenUntil && !peers.isStoreDownForAll()) return undefined;
      return epochOf(state.claim.offset);
    },
    observedLease: () =>
      state.claim.offset < 0
        ? undefined
        : { epoch: epochOf(state.claim.offset), holder: state.claim.holder },
    observe: (lease) => applyClaim(lease.holder, lease.epoch - 1),
    recordRefusal(epoch) {
      state.rejectedEpoch = Math.max(state.rejectedEpoch, epoch);
      logger.event("fenceRefused", { pool: leaseKey, epoch });
    },
    remainingLeaseMs() {
      if (!isHeld() || stopping) return 0;
      if (peers.isStoreDownForAll()) return options.leaseMs;
      return Math.max(0, Math.round(state.provenUntil - clock.elapsed()));
    },
    async release() {
      const wasHeld = isHeld();
      stopping = true;
      if (!wasHeld || state.nextOffset === undefined) return;
      await stream.put(leaseKey, releasedHolder, state.nextOffset);
      logger.event("leaseReleased", { pool: leaseKey });
    },
    start: loop.start,
    stop: async () => {
      stopping = true;
      await loop.stop();
    },
  };
}
