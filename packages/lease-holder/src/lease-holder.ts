/** Manages this box's leases on pools: claims free ones, renews held ones, and releases them on shutdown. */
import { settingsName } from "@linkfall/config";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { incarnationName, logWriterName } from "@linkfall/log-writer";
import { membershipName } from "@linkfall/membership";
import { rankNodes, topNodes } from "@linkfall/rendezvous";
import type { Lease } from "@linkfall/state-fold";
import { stateStoreName } from "@linkfall/state-store";
import type { Epoch, Milliseconds } from "@linkfall/types";
import { createLeaseClock } from "./lease-clock.js";

/** Additional delay per rank before a box claims a free lease. */
const rankStepMs: Milliseconds = 400;
/** Interval at which leases are checked. */
const checkMs: Milliseconds = 200;

/** A lease on sending orders in a pool. */
export interface HeldLease {
  readonly pool: string;
  readonly epoch: Epoch;
  /** False once the lease has expired by this box's clock; engines with fencing still accept its orders. */
  readonly valid: boolean;
}

/** The leases of one box. */
export interface LeaseHolder {
  /** Returns this box's lease on the pool, unless it was released or another box has claimed it. */
  heldLease(pool: string): HeldLease | undefined;
  /** Returns all leases of this box. */
  heldLeases(): readonly HeldLease[];
  /** Returns the names of the pools that this box serves. */
  servedPools(): readonly string[];
  /** Returns the names of the boxes that serve a pool, by the members known to this box. */
  boxesServing(pool: string): readonly string[];
  /** Stops claiming and releases all leases, on planned shutdown. */
  releaseAll(): Promise<void>;
}

/** Name of the lease holder in the kernel. */
export const leaseHolderName = serviceName<LeaseHolder>("lease-holder");

/** Creates the lease holder of one box, which claims and renews leases while it is started. */
export function createLeaseHolder(kernel: Kernel): LeaseHolder & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);
  const incarnation = kernel.find(incarnationName);
  const settings = kernel.find(settingsName).lease;
  const leaseClock = createLeaseClock();
  /** When each free pool was first found free. */
  const freeSince = new Map<string, Milliseconds>();
  let releasing = false;
  let renewedAt = -Infinity;
  let writing = false;

  const recordRead = (lease: Lease) => leaseClock.recordRead(lease, clock.now());
  store.onFold((event) => {
    if (event.type === "lease_claimed" || event.type === "lease_renewed") recordRead(event.lease);
    if (event.type === "lease_claimed") logClaim(event.lease);
  });
  store.onReplace(() => {
    for (const lease of store.state().leases.values()) recordRead(lease);
  });

  const logClaim = (lease: Lease) => {
    const isOwn = lease.holder === incarnation;
    logger.event(isOwn ? "leaseTaken" : "leaseLost", {
      pool: lease.pool,
      epoch: lease.epoch,
      holder: lease.holder,
    });
  };

  const ownLeases = (): readonly Lease[] =>
    [...store.state().leases.values()].filter(
      (lease) => lease.holder === incarnation && !lease.released,
    );

  const boxesServing = (pool: string) => {
    // A leaving box continues to serve the requests it receives until its shutdown is complete.
    const box = membership.self().box;
    const boxes = [...new Set([box, ...membership.serving().map((entry) => entry.box)])];
    return topNodes(pool, boxes, settings.boxes_per_pool);
  };

  const servedPools = () => {
    const box = membership.self().box;
    return [...store.desired().pools.keys()].filter((pool) => boxesServing(pool).includes(box));
  };

  const renew = async () => {
    const held = ownLeases();
    if (held.length === 0) return;
    const sentAt = clock.elapsed();
    renewedAt = clock.now();
    const epochs = held.map((lease) => lease.epoch);
    const result = await writer.append(
      (id) => ({ type: "renew", id, holder: incarnation, epochs }),
      settings.lease_ms,
    );
    result.ifRight((folded) => {
      for (const event of folded) {
        if (event.type === "lease_renewed") leaseClock.recordSent(event.lease.epoch, sentAt);
      }
    });
  };

  const claim = async (pool: string) => {
    const sentAt = clock.elapsed();
    const supersedes = store.state().leases.get(pool)?.touched ?? 0;
    const result = await writer.append(
      (id) => ({
        type: "claim",
        id,
        pool,
        holder: incarnation,
        holderAddress: membership.self().peerAddress,
        supersedes,
        leaseMs: settings.lease_ms,
      }),
      settings.lease_ms,
    );
    result.ifRight((folded) => {
      for (const event of folded) {
        if (event.type === "lease_claimed") leaseClock.recordSent(event.lease.epoch, sentAt);
      }
    });
    freeSince.delete(pool);
  };

  const isFree = (pool: string) => {
    const lease = store.state().leases.get(pool);
    if (!lease) return true;
    // This incarnation's own lease can still be renewed after its expiry, unless it was superseded.
    if (lease.holder === incarnation && !lease.released) return false;
    return leaseClock.hasExpired(lease, settings.margin_ms, clock.now());
  };

  /** Returns the first free pool that this box may claim by its rank. */
  const poolToClaim = (): string | undefined => {
    const now = clock.now();
    const boxes = membership.serving().map((entry) => entry.box);
    if (membership.self().leaving) return undefined;
    for (const pool of servedPools()) {
      if (!isFree(pool)) {
        freeSince.delete(pool);
        continue;
      }
      const since = freeSince.get(pool) ?? now;
      freeSince.set(pool, since);
      const rank = rankNodes(pool, boxes).indexOf(membership.self().box);
      if (now - since >= rank * rankStepMs) return pool;
    }
    return undefined;
  };

  const check = async () => {
    if (writing || releasing || !store.ready() || membership.isolated()) return;
    writing = true;
    if (clock.now() - renewedAt >= settings.renew_ms) await renew();
    const pool = poolToClaim();
    if (pool !== undefined && !releasing) await claim(pool);
    writing = false;
  };

  const toHeld = (lease: Lease): HeldLease => ({
    pool: lease.pool,
    epoch: lease.epoch,
    valid: leaseClock.isHeld(lease, clock.elapsed()),
  });

  const loop = repeatEvery(clock, kernel.find(randomName), checkMs, check);
  return {
    heldLease(pool) {
      const lease = store.state().leases.get(pool);
      if (!lease || lease.holder !== incarnation || lease.released) return undefined;
      return toHeld(lease);
    },
    heldLeases: () => ownLeases().map(toHeld),
    servedPools,
    boxesServing,
    async releaseAll() {
      releasing = true;
      const held = ownLeases();
      if (held.length === 0) return;
      const epochs = held.map((lease) => lease.epoch);
      await writer.append(
        (id) => ({ type: "release", id, holder: incarnation, epochs }),
        settings.lease_ms,
      );
      for (const lease of held) logger.event("leaseReleased", { pool: lease.pool });
    },
    start: loop.start,
    stop: loop.stop,
  };
}
