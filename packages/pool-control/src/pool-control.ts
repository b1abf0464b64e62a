/** Runs a session for each pool whose lease this box holds. */
import { settingsName } from "@linkfall/config";
import {
  clockName,
  type Kernel,
  randomName,
  repeatEvery,
  type Service,
  serviceName,
} from "@linkfall/kernel";
import { leaseHolderName } from "@linkfall/lease-holder";
import { membershipName } from "@linkfall/membership";
import { targetWatchName } from "@linkfall/target-watch";
import { createPoolSession, type PoolSession, type SessionStatus } from "./pool-session.js";

export interface PoolControl {
  /** The sessions that run on this box. */
  sessions(): readonly SessionStatus[];
}

export const poolControlName = serviceName<PoolControl>("pool-control");

/** Creates the control of one box; its life cycle is the rounds of its sessions. */
export function createPoolControl(kernel: Kernel): PoolControl & Service {
  const leases = kernel.find(leaseHolderName);
  const membership = kernel.find(membershipName);
  const sessions = new Map<string, PoolSession>();
  const ticking = new Set<PoolSession>();

  kernel.find(targetWatchName).onReport((watched) => {
    for (const session of sessions.values()) session.handleReport(watched);
  });

  /** Ends the sessions of leases that are gone, and starts one for each new lease. */
  const alignSessions = () => {
    const held = leases.heldLeases();
    const epochs = new Map(held.map((lease) => [lease.pool, lease.epoch]));
    for (const [pool, session] of sessions) {
      if (epochs.get(pool) !== session.epoch) sessions.delete(pool);
    }
    for (const lease of held) {
      if (!sessions.has(lease.pool) && lease.valid) {
        sessions.set(lease.pool, createPoolSession(kernel, lease));
      }
    }
  };

  /** A round that waits for the log must not hold up the rounds of other pools. */
  const tick = async (session: PoolSession) => {
    if (ticking.has(session)) return;
    ticking.add(session);
    await session.tick();
    ticking.delete(session);
  };

  const round = () => {
    if (membership.isolated()) return;
    alignSessions();
    for (const session of sessions.values()) void tick(session);
  };

  const interval = kernel.find(settingsName).placement.plan_ms;
  const loop = repeatEvery(kernel.find(clockName), kernel.find(randomName), interval, round);
  return {
    sessions: () => [...sessions.values()].map((session) => session.status()),
    start: loop.start,
    stop: loop.stop,
  };
}
