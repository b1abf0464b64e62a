/** Holds leases on pools: claims those that are free, renews its own, and releases them at a stop. */
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

/** Each later rank among the boxes waits this much longer before it claims. */
const rankStepMs: Milliseconds = 400;
/** How often leases are looked at. */
const checkMs: Milliseconds = 200;

/** The right to give orders in a pool. */
export interface HeldLease {
  readonly pool: string;
  readonly epoch: Epoch;
  /** False once the lease has run out by this box's clock; a fence may still carry its orders. */
  readonly valid: boolean;
}

export interface LeaseHolder {
  /** The newest lease of this box on the pool, unless another box's claim has been read. */
  heldLease(pool: string): HeldLease | undefined;
  /** Pools whose newest lease is this box's. */
  heldLeases(): readonly HeldLease[];
  /** Pools that this box serves. */
  servedPools(): readonly string[];
  /** Names of the boxes that serve a pool, as this box sees the members. */
  boxesServing(pool: string): readonly string[];
  /** Gives all leases up, at a planned stop. */
  releaseAll(): Promise<void>;
}

export const leaseHolderName = serviceName<LeaseHolder>("lease-holder");

/** Creates the lease holder of one box; its life cycle is the claiming and renewing. */
export function createLeaseHolder(kernel: Kernel): LeaseHolder & Service {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const membership = kernel.find(membershipName);
  const incarnation = kernel.find(incarnationName);
  const settings = kernel.find(settingsName).lease;
  const leases = createLeaseClock();
  /** Since when a pool has been free in this box's eyes. */
  const freeSince = new Map<string, Milliseconds>();
  let releasing = false;
  let renewedAt = -Infinity;
  let writing = false;

  const note = (lease: Lease) => leases.recordRead(lease, clock.now());
  store.onFold((event) => {
    if (event.type === "lease_claimed" || event.type === "lease_renewed") note(event.lease);
    if (event.type === "lease_claimed") noteTakeover(event.lease);
  });
  store.onReplace(() => {
    for (const lease of store.state().leases.values()) note(lease);
  });

  const noteTakeover = (lease: Lease) => {
    const mine = lease.holder === incarnation;
    logger.event(mine ? "leaseTaken" : "leaseLost", {
      pool: lease.pool,
      epoch: lease.epoch,
      holder: lease.holder,
    });
  };

  const mine = (): readonly Lease[] =>
    [...store.state().leases.values()].filter(
      (lease) => lease.holder === incarnation && !lease.released,
    );

  const boxesOf = (pool: string) => {
    // A box that is leaving goes on serving what it still gets, until its planned stop is done.
    const box = membership.self().box;
    const boxes = [...new Set([box, ...membership.serving().map((entry) => entry.box)])];
    return topNodes(pool, boxes, settings.boxes_per_pool);
  };

  const servedPools = () => {
    const box = membership.self().box;
    return [...store.desired().pools.keys()].filter((pool) => boxesOf(pool).includes(box));
  };

  const renew = async () => {
    const held = mine();
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
        if (event.type === "lease_renewed") leases.recordSent(event.lease.epoch, sentAt);
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
        if (event.type === "lease_claimed") leases.recordSent(event.lease.epoch, sentAt);
      }
    });
    freeSince.delete(pool);
  };

  const isFree = (pool: string) => {
    const lease = store.state().leases.get(pool);
    if (!lease) return true;
    // A lease of this very process can be renewed, whatever its clock says, while none supersedes it.
    if (lease.holder === incarnation && !lease.released) return false;
    return leases.hasExpired(lease, settings.margin_ms, clock.now());
  };

  /** The first pool that is free and that it is this box's turn to claim. */
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
    valid: leases.isHeld(lease, clock.elapsed()),
  });

  const loop = repeatEvery(clock, kernel.find(randomName), checkMs, check);
  return {
    heldLease(pool) {
      const lease = store.state().leases.get(pool);
      if (!lease || lease.holder !== incarnation || lease.released) return undefined;
      return toHeld(lease);
    },
    heldLeases: () => mine().map(toHeld),
    servedPools,
    boxesServing: boxesOf,
    async releaseAll() {
      releasing = true;
      const held = mine();
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
