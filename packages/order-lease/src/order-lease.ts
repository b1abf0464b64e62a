/**
 * Lease on sending orders, claimed by a conditional append to a keyed stream. The generation of the store and the offset of
 * the claim determine the epoch, which serves as fencing token. The holder proves that there is no newer claim by reading
 * the stream.
 */
import type { LogFailure } from "@linkfall/errors";
import { clockName, type Kernel, randomName, repeatEvery } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { KeyedBatch, KeyedStreamPort, StoreGeneration } from "@linkfall/ports";
import type { Epoch, Incarnation, Milliseconds, Offset } from "@linkfall/types";
import type { Either } from "purify-ts";
import { type Claim, epochOf, firstOffset, noClaimEpoch } from "./claim.js";
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

/** Why a box claims the lease. */
type ClaimReason =
  | "free"
  | "holder is an earlier incarnation"
  | "holder is leaving"
  | "holder has lost the store"
  | "holder is silent"
  | "own claim has ended";

interface LeaseState {
  /** Newest observed claim. */
  claim: Claim;
  /** Generation of the store that was last read. */
  generation: StoreGeneration;
  /** When this box first read that generation. */
  generationSeenAt: Milliseconds;
  /** Whether the store has come back from a copy without the observed claim. */
  isClaimLost: boolean;
  /** Holder of a claim that the store has lost, and which may send orders until it reads the store again. */
  lostHolder: Incarnation | undefined;
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
  /** Highest epoch that was rejected by an engine or given up by this box; it is never used again. */
  endedEpoch: Epoch;
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
  const metrics = kernel.find(metricsName);
  const startedAt = clock.now();
  const state: LeaseState = {
    claim: { holder: releasedHolder, epoch: noClaimEpoch },
    generation: 0,
    generationSeenAt: startedAt,
    isClaimLost: false,
    lostHolder: undefined,
    claimObservedAt: startedAt,
    nextOffset: undefined,
    provenUntil: -Infinity,
    provenAt: -Infinity,
    ordersFrom: Infinity,
    holderGoneSince: undefined,
    holderLastSeenAt: startedAt,
    endedEpoch: -1,
  };
  let stopping = false;
  let reading = false;
  let checkedAt = startedAt;
  /** Time by which the newest check was late, which delays the messages of other boxes as well. */
  let checkLateMs: Milliseconds = 0;

  const isHeld = () =>
    state.claim.holder === self && !state.isClaimLost && state.claim.epoch > state.endedEpoch;

  const applyClaim = ({ holder, epoch }: Claim) => {
    if (epoch <= state.claim.epoch) return;
    const wasHeld = isHeld();
    state.claim = { holder, epoch };
    state.isClaimLost = false;
    state.holderGoneSince = undefined;
    state.claimObservedAt = clock.now();
    // This box's claim is found by reading if its response was lost. The time until which the previous holder may send orders
    // is then unknown, and at most a full lease.
    if (holder === self) state.ordersFrom = clock.now() + options.leaseMs;
    if (wasHeld && holder !== self) {
      logger.event("leaseLost", { pool: leaseKey, epoch, holder });
    }
  };

  /** Starts to read a store that has come back from an older copy, which need not have the observed claim. */
  const startGeneration = (generation: StoreGeneration) => {
    state.generation = generation;
    state.generationSeenAt = clock.now();
    state.nextOffset = undefined;
    state.provenUntil = -Infinity;
    // Another box may have told of a claim in this generation already.
    if (state.claim.epoch >= epochOf(generation, firstOffset)) return;
    state.isClaimLost = true;
    state.lostHolder = state.claim.holder;
  };

  const applyBatch = ({ records, end, generation }: KeyedBatch) => {
    for (const record of records) {
      if (record.key !== leaseKey) continue;
      const epoch = epochOf(generation, record.offset);
      applyClaim({ holder: record.value ?? releasedHolder, epoch });
    }
    state.nextOffset = end;
  };

  const handleReadFailure = (failure: LogFailure) => {
    if (failure.kind === "log_truncated") state.nextOffset = undefined;
  };

  /** Reads the records after those already read; all newest records if the store has come back from an older copy. */
  const readStream = async (): Promise<Either<LogFailure, KeyedBatch>> => {
    const from = state.nextOffset;
    if (from === undefined) return stream.readNewest();
    const read = await stream.readChanges(from, 0);
    const isOtherHistory = read
      .map(({ generation }) => generation !== state.generation)
      .orDefault(false);
    return isOtherHistory ? stream.readNewest() : read;
  };

  /** Reads the stream, which either shows a newer claim or proves that there is none. */
  const prove = async () => {
    if (reading) return;
    reading = true;
    const sentAt = clock.elapsed();
    const read = await readStream();
    reading = false;
    read.ifLeft(handleReadFailure).ifRight((batch) => {
      // An answer of an earlier generation proves nothing.
      if (batch.generation < state.generation) return;
      if (batch.generation > state.generation) startGeneration(batch.generation);
      applyBatch(batch);
      state.provenAt = sentAt;
      if (isHeld()) state.provenUntil = sentAt + options.leaseMs;
    });
  };

  /**
   * Time for which a holder without contact may still send orders, as it may have just proven its lease. If engines reject
   * lower epochs, it is enough to wait until a holder that reaches the store has read the new claim.
   */
  const proofIntervalMs = options.leaseMs / proofsPerLease + proofMarginChecks * options.checkMs;
  const uncontactedHolderMs = options.enginesFence ? proofIntervalMs : options.leaseMs;

  /** Returns the time until which the observed holder may send orders. */
  const holderOrdersUntil = (holder: Incarnation): Milliseconds => {
    if (holder === releasedHolder || holder === self) return clock.now();
    if (peers.isOwnEarlierIncarnation(holder)) return clock.now();
    const sinceLastMessageMs = peers.sinceLastMessageMs(holder);
    if (sinceLastMessageMs !== undefined && sinceLastMessageMs <= options.holderTimeoutMs) {
      return clock.now() + peers.remainingLeaseMs(holder);
    }
    return clock.now() + uncontactedHolderMs;
  };

  /** Returns the time until which any earlier holder may send orders. */
  const earlierHoldersOrderUntil = (): Milliseconds => {
    const known = [state.claim.holder, state.lostHolder].filter((holder) => holder !== undefined);
    // The store may have lost a claim that this box has never observed.
    const unknownUntil =
      state.generation > 0 ? state.generationSeenAt + uncontactedHolderMs : -Infinity;
    return Math.max(unknownUntil, ...known.map(holderOrdersUntil));
  };

  /** Records a claim that succeeded, with what decided it. */
  const recordTaken = (reason: ClaimReason, holder: Incarnation) => {
    metrics.count("linkfall_lease_claims_total", "Claims of the order lease, by reason.", {
      reason,
    });
    logger.event("leaseTaken", {
      pool: leaseKey,
      epoch: state.claim.epoch,
      ordersInMs: Math.round(state.ordersFrom - clock.now()),
      reason,
      holder,
      holderSilentMs: Math.round(peers.sinceLastMessageMs(holder) ?? Infinity),
      holderLeaseMs: peers.remainingLeaseMs(holder),
      rank: peers.rank(),
      checkLateMs: Math.round(checkLateMs),
    });
  };

  const claim = async (reason: ClaimReason) => {
    const epochBefore = state.claim.epoch;
    const read = await stream.readNewest();
    if (read.isLeft()) return;
    read.ifRight((batch) => {
      if (batch.generation > state.generation) startGeneration(batch.generation);
      if (batch.generation === state.generation) applyBatch(batch);
    });
    // Another box has claimed the lease since.
    if (state.claim.epoch !== epochBefore && state.claim.holder !== releasedHolder) return;
    const { generation, nextOffset } = state;
    const sentAt = clock.elapsed();
    const previousHoldersOrderUntil = earlierHoldersOrderUntil();
    const appended = await stream.put(leaseKey, self, nextOffset);
    appended.ifRight((position) => {
      // The store has come back from an older copy meanwhile: the claim is found, and its time determined, by reading.
      if (position.generation !== generation) return;
      const previousHolder = state.claim.holder;
      const isFirst = state.claim.epoch === noClaimEpoch && generation === 0;
      const epoch = epochOf(generation, position.offset);
      applyClaim({ holder: self, epoch });
      state.lostHolder = undefined;
      state.nextOffset = position.offset + 1;
      state.provenUntil = sentAt + options.leaseMs;
      state.ordersFrom = isFirst
        ? clock.now()
        : Math.max(clock.now() + claimNoticeMs, previousHoldersOrderUntil);
      recordTaken(reason, previousHolder);
      peers.announceClaim();
    });
  };

  /**
   * Releases the lease, so that a box that reaches engines claims it. This box sends no more orders from now on, even if the
   * store does not answer, as it reports to the others that it may not.
   */
  const giveUp = async () => {
    if (state.claim.holder !== self) return;
    state.endedEpoch = Math.max(state.endedEpoch, state.claim.epoch);
    await prove();
    const { generation, nextOffset } = state;
    if (state.claim.holder !== self || nextOffset === undefined) return;
    const appended = await stream.put(leaseKey, releasedHolder, nextOffset);
    appended.ifRight((position) => {
      // The store has come back from an older copy meanwhile: the record is found by reading.
      if (position.generation !== generation) return;
      applyClaim({ holder: releasedHolder, epoch: epochOf(generation, position.offset) });
      state.nextOffset = position.offset + 1;
      logger.event("leaseReleased", { pool: leaseKey, reason: "cut off from all targets" });
      peers.announceClaim();
    });
  };

  /** Proves the lease when due; after a rejected order, claims it again unless another box holds it. */
  const renew = async () => {
    if (isHeld() && clock.elapsed() - state.provenAt < options.leaseMs / proofsPerLease) return;
    await prove();
    if (state.claim.holder === self && !isHeld()) await claim("own claim has ended");
  };

  /** Whether a holder that still sends messages can no longer prove its lease. */
  const hasLostStore = (holder: Incarnation): boolean => {
    const sinceClaim = clock.now() - state.claimObservedAt;
    if (sinceClaim < options.leaseMs) return false;
    return peers.remainingLeaseMs(holder) < options.leaseMs * minRemainingShare;
  };

  /** Why the lease can be claimed; undefined while the holder is presumed to keep it. */
  const reasonToClaim = (): ClaimReason | undefined => {
    const { holder } = state.claim;
    if (holder === releasedHolder) return "free";
    const sinceLastMessageMs = peers.sinceLastMessageMs(holder);
    if (sinceLastMessageMs !== undefined) {
      state.holderLastSeenAt = Math.max(state.holderLastSeenAt, clock.now() - sinceLastMessageMs);
    }
    if (peers.isLeaving(holder)) return "holder is leaving";
    if (sinceLastMessageMs !== undefined && hasLostStore(holder)) {
      return "holder has lost the store";
    }
    const silentMs = clock.now() - state.holderLastSeenAt;
    return silentMs > options.holderTimeoutMs ? "holder is silent" : undefined;
  };

  const check = async () => {
    checkLateMs = Math.max(0, clock.now() - checkedAt - options.checkMs);
    checkedAt = clock.now();
    if (stopping) return;
    if (peers.isCutOffFromEngines()) return giveUp();
    if (state.claim.holder === self) return renew();
    // An earlier incarnation of this box has certainly ended, so there is no need to wait.
    if (peers.isOwnEarlierIncarnation(state.claim.holder)) {
      return claim("holder is an earlier incarnation");
    }
    const reason = reasonToClaim();
    if (!reason) {
      state.holderGoneSince = undefined;
      return;
    }
    state.holderGoneSince ??= clock.now();
    const claimAt = state.holderGoneSince + peers.rank() * options.rankStepMs;
    if (clock.now() < claimAt) return;
    await claim(reason);
  };

  const loop = repeatEvery(clock, kernel.find(randomName), options.checkMs, check);
  return {
    epoch() {
      const now = clock.now();
      if (!isHeld() || stopping || now < state.ordersFrom) return undefined;
      if (clock.elapsed() >= state.provenUntil && !peers.isStoreDownForAll()) return undefined;
      return state.claim.epoch;
    },
    observedLease: () => (state.claim.epoch === noClaimEpoch ? undefined : state.claim),
    observe: applyClaim,
    recordRefusal(epoch) {
      state.endedEpoch = Math.max(state.endedEpoch, epoch);
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
