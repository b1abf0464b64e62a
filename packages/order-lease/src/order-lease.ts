/**
 * Lease on sending orders, claimed by a conditional append to a keyed stream. The generation of the store and the offset of
 * the claim determine the epoch, which serves as fencing token. The holder proves that there is no newer claim by reading
 * the stream. A box that doesn't hear the holder appends a probe, and claims only if the holder does not answer it in the time
 * for which earlier proofs are valid.
 */
import { clockName, type Kernel, randomName, repeatEvery } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { KeyedStreamPort } from "@linkfall/ports";
import type { Epoch, Incarnation, Milliseconds } from "@linkfall/types";
import { type Claim, epochOf, firstOffset, noClaimEpoch } from "./claim.js";
import { createClaimStream } from "./claim-stream.js";
import type { LeaseOptions, LeasePeers, OrderLease } from "./contract.js";
import {
  createHolderProbes,
  encodeProbe,
  encodeRenewal,
  type HolderProbe,
  type NewRecord,
} from "./holder-probes.js";

const leaseKey = "orders";
/** Marks a released lease in place of the holder. */
const releasedHolder = "-";
/** Proof reads per lease time. They don't wait for changes, so an idle stream is answered at once. */
const proofsPerLease = 6;
/** Share of the lease time for which a proof is valid if engines fence, so that a holder that has failed is replaced sooner. */
const fencedProofShare = 0.5;
/** A read that takes longer than this share of the proof's validity does not delay the next one. */
const slowReadShare = 0.25;
/** A holder that says that it has lost the store is presumed to stay without it once its proof has less than this share left. */
const minRemainingShare = 0.35;
/** A holder releases the lease to a box that hears more than this many times as many boxes. */
const betterConnectedFactor = 2;
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
  /** Whether the store has come back from a copy without the observed claim. */
  isClaimLost: boolean;
  /** When this box observed that claim. */
  claimObservedAt: Milliseconds;
  /**
   * When the current proof expires. This and `provenAt` use `elapsed`, which includes suspensions of the machine, as leases
   * expire during them. Times of other boxes use `now`, to never end early because of a clock step.
   */
  provenUntil: Milliseconds;
  /** When the newest read that was answered was sent. */
  provenAt: Milliseconds;
  /** When the newest read was sent. */
  readSentAt: Milliseconds;
  /** Whether what the holder's reads have shown has not been acted upon yet. */
  hasUnhandledRead: boolean;
  /** When this box may start to send orders. */
  ordersFrom: Milliseconds;
  /** When this box found the holder gone. */
  holderGoneSince: Milliseconds | undefined;
  /** When the holder last sent a message. */
  holderLastSeenAt: Milliseconds;
  /** Highest epoch that was rejected by an engine or given up by this box; it is never used again. */
  endedEpoch: Epoch;
  /** When this box last told the others, or may have told them, that it did not reach the store. */
  withoutStoreAt: Milliseconds;
  /** When this box last gave up the lease, or learned that another box had claimed it. */
  lostAt: Milliseconds;
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
    isClaimLost: false,
    claimObservedAt: startedAt,
    provenUntil: -Infinity,
    provenAt: -Infinity,
    readSentAt: -Infinity,
    hasUnhandledRead: false,
    ordersFrom: Infinity,
    holderGoneSince: undefined,
    holderLastSeenAt: startedAt,
    endedEpoch: -1,
    withoutStoreAt: -Infinity,
    lostAt: -Infinity,
  };
  const probes = createHolderProbes(clock);
  /** Time for which a proof permits to send orders. */
  const proofValidMs = options.enginesFence ? options.leaseMs * fencedProofShare : options.leaseMs;
  const slowReadMs = proofValidMs * slowReadShare;
  let stopping = false;
  let reachedStore = true;
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
    // A box that waits by its rank for a holder that is gone does not wait again when that holder releases the lease.
    if (holder !== releasedHolder) state.holderGoneSince = undefined;
    state.claimObservedAt = clock.now();
    state.holderLastSeenAt = clock.now();
    // This box's claim is found by reading if its response was lost. The time until which the previous holder may send orders
    // is then unknown, and at most a full lease.
    if (holder === self) state.ordersFrom = clock.now() + options.leaseMs;
    if (!wasHeld || holder === self) return;
    state.lostAt = clock.now();
    logger.event("leaseLost", { pool: leaseKey, epoch, holder });
  };

  const claims = createClaimStream(clock, stream, {
    onNewGeneration(generation) {
      state.provenUntil = -Infinity;
      probes.clear();
      // Another box may have told of a claim in this generation already.
      if (state.claim.epoch < epochOf(generation, firstOffset)) state.isClaimLost = true;
    },
    onRecord(record, generation) {
      probes.apply(record);
      if (record.key !== leaseKey) return;
      const epoch = epochOf(generation, record.offset);
      applyClaim({ holder: record.value ?? releasedHolder, epoch });
    },
  });

  /**
   * Whether this box's proof is valid. In an outage of the store, engines that fence reject its orders if another box has claimed
   * the lease after all, so that an expired proof is enough for them.
   */
  const isProven = (): boolean => {
    if (clock.elapsed() < state.provenUntil) return true;
    return options.enginesFence && peers.isStoreDownForAll();
  };

  /** Whether a box that this one does not hear could claim the lease. Engines that fence then reject this box's orders. */
  const canBeClaimedUnheard = (): boolean => {
    if (options.enginesFence) return false;
    return peers.countHeardWithin(options.holderTimeoutMs) + 1 < peers.maxKnownBoxes();
  };

  /** Keeps a valid proof valid while no box reaches the store. An expired one stays expired, as others may have claimed since. */
  const keepProofInOutage = () => {
    const isValid = clock.elapsed() < state.provenUntil;
    if (!isHeld() || !isValid || !peers.isStoreDownForAll() || canBeClaimedUnheard()) return;
    // A box may reach the store again since its last message.
    const confirmedAt = clock.elapsed() - peers.oldestMessageAgeMs();
    state.provenUntil = Math.max(state.provenUntil, confirmedAt + proofValidMs);
  };

  /** Records until when the holder may keep its lease for what this box tells of the store. */
  const recordReach = () => {
    const reachesStore = peers.reachesStore(self);
    if (!reachesStore || !reachedStore) state.withoutStoreAt = clock.now();
    reachedStore = reachesStore;
  };

  /** Records that the stream had no newer claim at `sentAt`; the answer to a later read may have been first. */
  const recordProof = (sentAt: Milliseconds) => {
    if (sentAt < state.provenAt) return;
    state.provenAt = sentAt;
    if (isHeld()) state.provenUntil = sentAt + proofValidMs;
  };

  /** Appends that no box holds the lease. */
  const appendRelease = async (reason: string): Promise<boolean> => {
    const position = await claims.append(leaseKey, releasedHolder);
    if (!position) return false;
    const epoch = epochOf(position.generation, position.offset);
    applyClaim({ holder: releasedHolder, epoch });
    logger.event("leaseReleased", { pool: leaseKey, reason });
    return true;
  };

  /** Appends a probe or a renewal and applies it; resolves to false if it was not appended. */
  const appendProbeRecord = async ({ key, value }: NewRecord): Promise<boolean> => {
    const position = await claims.append(key, value);
    if (position) probes.apply({ key, value, offset: position.offset });
    return position !== undefined;
  };

  /** Whether the sender of the probe receives the demand of many more boxes than this one. */
  const isBetterConnected = ({ boxesHeard }: HolderProbe): boolean =>
    boxesHeard > peers.countHeardWithin(options.holderTimeoutMs) * betterConnectedFactor;

  /** Ends the own epoch for good and appends the release; without it, other boxes claim the lease when its proof has expired. */
  const yieldLease = async (reason: string) => {
    state.endedEpoch = Math.max(state.endedEpoch, state.claim.epoch);
    state.lostAt = clock.now();
    if (await appendRelease(reason)) peers.announceClaim();
  };

  /** Appends a renewal, which proves the lease as reading does. */
  const appendRenewal = async (epoch: Epoch): Promise<boolean> => {
    const sentAt = clock.elapsed();
    if (!(await appendProbeRecord(encodeRenewal(epoch, proofValidMs)))) return false;
    recordProof(sentAt);
    return true;
  };

  const answerProbe = async (probe: HolderProbe) => {
    if (isBetterConnected(probe)) return yieldLease("another box hears more boxes");
    if (!(await appendRenewal(probe.epoch))) return;
    logger.event("leaseRenewed", { pool: leaseKey, epoch: probe.epoch });
  };

  /** Reads the stream, which either shows a newer claim or proves that there is none. */
  const prove = async () => {
    const sentAt = clock.elapsed();
    state.readSentAt = sentAt;
    if (!(await claims.follow())) return;
    state.hasUnhandledRead = true;
    // The sender of a probe waits only for proofs from before it, so that later ones have to be visible to it.
    if (!isHeld() || !probes.findPending(state.claim.epoch)) recordProof(sentAt);
  };

  /** Resolves when the read has ended, or is slow. */
  const endOrDelayOf = (read: Promise<void>) =>
    new Promise<void>((resolve) => {
      const cancel = clock.after(slowReadMs, resolve);
      void read.then(() => {
        cancel();
        resolve();
      });
    });

  /** Whether the holder has to read again. A slow read is overlapped by the next one, so that a proof is in time. */
  const isProofDue = (): boolean => {
    if (claims.readsUnderWay() > 0) return clock.elapsed() - state.readSentAt >= slowReadMs;
    return clock.elapsed() - state.provenAt >= options.leaseMs / proofsPerLease;
  };

  /** Answers a probe that the holder's reads have shown. */
  const handleReads = async () => {
    if (!state.hasUnhandledRead) return;
    state.hasUnhandledRead = false;
    const probe = probes.findPending(state.claim.epoch);
    if (probe) return answerProbe(probe);
    // The first renewal tells the others that this holder answers probes.
    if (probes.proofValidMs(state.claim.epoch) === undefined)
      await appendRenewal(state.claim.epoch);
  };

  /** Whether a holder has said since its claim that it sends no more orders. */
  const hasStopped = (holder: Incarnation): boolean => {
    const heardAt = clock.now() - (peers.sinceLastMessageMs(holder) ?? Infinity);
    const isCurrent = heardAt >= state.claimObservedAt;
    return isCurrent && peers.isLeaving(holder) && peers.remainingLeaseMs(holder) === 0;
  };

  /** Whether a box may still send orders as the holder, so that its earlier proofs have to expire first. */
  const mayStillOrder = (holder: Incarnation): boolean => {
    if (holder === releasedHolder || holder === self) return false;
    return !peers.isOwnEarlierIncarnation(holder) && !hasStopped(holder);
  };

  /** Time for which a proof of the holder is valid; its settings may differ from those of this box. */
  const holderProofValidMs = (epoch: Epoch): Milliseconds =>
    Math.max(proofValidMs, probes.proofValidMs(epoch) ?? 0);

  /**
   * When the holder's proofs from before the probe begin to expire. Without fences, that is not before this box reaches the
   * store, as the holder keeps its lease while no box does.
   */
  const probeWaitFrom = ({ seenAt }: HolderProbe): Milliseconds =>
    options.enginesFence ? seenAt : Math.max(seenAt, state.withoutStoreAt);

  /** Returns the time until which any earlier holder may send orders. */
  const earlierHoldersOrderUntil = (): Milliseconds => {
    const { claim } = state;
    // The store may have lost a claim, and its holder sends orders until it reads the store again.
    const lostUntil =
      claims.generation() > 0 ? claims.generationSeenAt() + proofValidMs : -Infinity;
    if (!mayStillOrder(claim.holder)) return lostUntil;
    // A holder of a version that does not answer probes sends orders until its reads show the new claim.
    if (probes.proofValidMs(claim.epoch) === undefined) return clock.now() + options.leaseMs;
    const probe = probes.findPending(claim.epoch);
    const waitedFrom = probe ? probeWaitFrom(probe) : clock.now();
    return Math.max(lostUntil, waitedFrom + holderProofValidMs(claim.epoch));
  };

  /** When this box may claim the lease of a holder that does not answer the probe. Orders follow only later. */
  const claimableAt = (probe: HolderProbe): Milliseconds =>
    probeWaitFrom(probe) + holderProofValidMs(probe.epoch) - claimNoticeMs;

  /** Whether the lease was released to boxes that are better connected than this one, and they have had the time to claim it. */
  const isReleasedToOthers = (): boolean => {
    const { holder, epoch } = state.claim;
    if (holder !== releasedHolder) return false;
    const probe = probes.findAt(epoch - epochOf(claims.generation(), firstOffset) - 1);
    if (!probe || !isBetterConnected(probe)) return false;
    return clock.now() - probe.seenAt < options.leaseMs;
  };

  /** Whether the holder, as far as the stream has been read, has ended or has left a probe unanswered for long enough. */
  const mayClaim = (): boolean => {
    if (isReleasedToOthers()) return false;
    if (!mayStillOrder(state.claim.holder)) return true;
    const probe = probes.findPending(state.claim.epoch);
    return probe !== undefined && clock.now() >= claimableAt(probe);
  };

  /** Reads whether the holder has answered a pending probe; appends one if there is none. */
  const probeHolder = async () => {
    const { holder, epoch } = state.claim;
    // The claim reads the stream again, and an answer does not matter before.
    if (probes.findPending(epoch)) return;
    if (!(await claims.follow()) || state.claim.epoch !== epoch) return;
    if (!mayStillOrder(holder) || probes.findPending(epoch)) return;
    const boxesHeard = peers.countHeardWithin(options.holderTimeoutMs);
    if (!(await appendProbeRecord(encodeProbe(epoch, boxesHeard)))) return;
    logger.event("leaseProbed", { pool: leaseKey, epoch, holder });
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
    if (!(await claims.readNewest())) return;
    // An own claim whose response was lost is found by this read.
    if (state.claim.epoch !== epochBefore && state.claim.holder === self) return;
    // Another box has claimed the lease since, or the holder has renewed it, or this box has begun to stop.
    if (stopping || !mayClaim()) return;
    const previousHolder = state.claim.holder;
    const isFirst = state.claim.epoch === noClaimEpoch && claims.generation() === 0;
    const sentAt = clock.elapsed();
    const previousHoldersOrderUntil = earlierHoldersOrderUntil();
    const position = await claims.append(leaseKey, self);
    if (!position) return;
    applyClaim({ holder: self, epoch: epochOf(position.generation, position.offset) });
    state.provenUntil = sentAt + proofValidMs;
    state.ordersFrom = isFirst
      ? clock.now()
      : Math.max(clock.now() + claimNoticeMs, previousHoldersOrderUntil);
    recordTaken(reason, previousHolder);
    peers.announceClaim();
  };

  /**
   * Releases the lease, so that a box that reaches engines claims it. This box sends no more orders from now on, even if the
   * store does not answer, as it reports to the others that it may not.
   */
  const giveUp = async () => {
    if (state.claim.holder !== self) return;
    state.endedEpoch = Math.max(state.endedEpoch, state.claim.epoch);
    await claims.follow();
    if (state.claim.holder === self) await yieldLease("cut off from all targets");
  };

  /** Proves the lease when due; after a rejected order, claims it again unless another box holds it. */
  const renew = async () => {
    if (isHeld()) {
      if (isProofDue()) await endOrDelayOf(prove());
    } else await prove();
    if (isHeld()) return handleReads();
    if (state.claim.holder !== self) return;
    const probe = probes.findPending(state.claim.epoch);
    if (probe && isBetterConnected(probe)) return yieldLease("another box hears more boxes");
    await claim("own claim has ended");
  };

  /** Whether a holder that still sends messages can no longer prove its lease. */
  const hasLostStore = (holder: Incarnation): boolean => {
    const confirmedAt = Math.max(state.claimObservedAt, probes.answeredAt(state.claim.epoch));
    if (clock.now() - confirmedAt < options.leaseMs) return false;
    const remainingMs = peers.remainingLeaseMs(holder);
    if (remainingMs === 0) return true;
    // The proofs of a holder whose store answers slowly are never young.
    return !peers.reachesStore(holder) && remainingMs < proofValidMs * minRemainingShare;
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
    const lastSeenAt = Math.max(state.holderLastSeenAt, probes.answeredAt(state.claim.epoch));
    const silentMs = clock.now() - lastSeenAt;
    return silentMs > options.holderTimeoutMs ? "holder is silent" : undefined;
  };

  const check = async () => {
    checkLateMs = Math.max(0, clock.now() - checkedAt - options.checkMs);
    checkedAt = clock.now();
    if (stopping) return;
    recordReach();
    if (peers.isCutOffFromEngines()) return giveUp();
    keepProofInOutage();
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
    // A former holder that claimed at once would take turns at sending orders with the box that replaced it.
    const claimFrom = Math.max(
      state.holderGoneSince + peers.rank() * options.rankStepMs,
      state.lostAt + options.leaseMs,
    );
    if (clock.now() < claimFrom) return;
    const { epoch } = state.claim;
    if (!mayClaim()) await probeHolder();
    // The probe's read may have shown a newer claim, whose holder is judged anew, or that the holder has released the lease.
    const isReleased = state.claim.holder === releasedHolder;
    if (state.claim.epoch !== epoch && !isReleased) return;
    if (mayClaim()) await claim(isReleased ? "free" : reason);
  };

  /** Returns what is left of a proof that is valid for `validMs`. */
  const remainingProofMs = (validMs: Milliseconds): Milliseconds => {
    if (!isHeld() || stopping) return 0;
    if (isProven() && peers.isStoreDownForAll() && !canBeClaimedUnheard()) return validMs;
    const sinceProofMs = clock.elapsed() - (state.provenUntil - proofValidMs);
    return Math.max(0, Math.round(validMs - sinceProofMs));
  };

  const loop = repeatEvery(clock, kernel.find(randomName), options.checkMs, check);
  return {
    epoch() {
      const now = clock.now();
      if (!isHeld() || stopping || now < state.ordersFrom) return undefined;
      return isProven() ? state.claim.epoch : undefined;
    },
    observedLease: () => (state.claim.epoch === noClaimEpoch ? undefined : state.claim),
    observe: applyClaim,
    recordRefusal(epoch) {
      state.endedEpoch = Math.max(state.endedEpoch, epoch);
      logger.event("fenceRefused", { pool: leaseKey, epoch });
    },
    remainingLeaseMs: () => remainingProofMs(proofValidMs),
    remainingLeaseTimeMs: () => remainingProofMs(options.leaseMs),
    async release() {
      const wasHeld = isHeld();
      stopping = true;
      if (!wasHeld || (await appendRelease("the box is stopping"))) return;
      await claims.follow();
      if (state.claim.holder === self) await appendRelease("the box is stopping");
    },
    start: loop.start,
    stop: async () => {
      stopping = true;
      await loop.stop();
    },
  };
}
