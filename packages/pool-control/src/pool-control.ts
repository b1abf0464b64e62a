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
  /** Returns the status of the sessions on this box. */
  sessions(): readonly SessionStatus[];
}

export const poolControlName = serviceName<PoolControl>("pool-control");

/** Creates the pool control of a box; its life cycle starts and stops the sessions' rounds. */
export function createPoolControl(kernel: Kernel): PoolControl & Service {
  const leases = kernel.find(leaseHolderName);
  const membership = kernel.find(membershipName);
  const sessions = new Map<string, PoolSession>();
  const runningSessions = new Set<PoolSession>();

  kernel.find(targetWatchName).onReport((watched) => {
    for (const session of sessions.values()) session.handleReport(watched);
  });

  /** Ends sessions whose lease is lost, and starts one for each new lease. */
  const alignSessions = () => {
    const heldLeases = leases.heldLeases();
    const epochs = new Map(heldLeases.map((lease) => [lease.pool, lease.epoch]));
    for (const [pool, session] of sessions) {
      if (epochs.get(pool) !== session.epoch) sessions.delete(pool);
    }
    for (const lease of heldLeases) {
      if (!sessions.has(lease.pool) && lease.valid) {
        sessions.set(lease.pool, createPoolSession(kernel, lease));
      }
    }
  };

  /** Runs sessions independently: one that waits for the log does not delay the others. */
  const runSession = async (session: PoolSession) => {
    if (runningSessions.has(session)) return;
    runningSessions.add(session);
    await session.tick();
    runningSessions.delete(session);
  };

  const runRound = () => {
    if (membership.isolated()) return;
    alignSessions();
    for (const session of sessions.values()) void runSession(session);
  };

  const interval = kernel.find(settingsName).placement.plan_ms;
  const loop = repeatEvery(kernel.find(clockName), kernel.find(randomName), interval, runRound);
  return {
    sessions: () => [...sessions.values()].map((session) => session.status()),
    start: loop.start,
    stop: loop.stop,
  };
}
