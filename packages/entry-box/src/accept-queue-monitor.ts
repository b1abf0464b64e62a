/**
 * Measures how long connections wait in the listen queue. Node.js accepts one connection per iteration of the event loop, so that
 * the queue of a busy box grows unseen. While it is not known to be empty, the box connects to itself now and then: as the queue
 * is first in, first out, all that is accepted before that connection has waited for longer.
 */
import type { Socket } from "node:net";
import type { Clock } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";

export interface AcceptQueueMonitor {
  /** Records that a connection was accepted; a connection of the monitor itself is closed. */
  connectionAccepted(socket: Socket): void;
  /** Time since when the connection that was accepted last may have been waiting. */
  waitingSince(): Milliseconds;
}

export interface AcceptQueueMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Iterations of the event loop since the process started. */
  loopIterations(): number;
  /** Total time for which the event loop had nothing to do. */
  loopIdleMs(): Milliseconds;
  /** Start of the blocked period of the event loop whose input is being read; undefined if there is none. */
  unreadSince(): Milliseconds | undefined;
  /** Opens a connection to the port that is monitored. */
  connect(): Socket;
  /** Called with each measured wait, and with what has passed of one that goes on. */
  onWait(waitMs: Milliseconds): void;
}

/** Time in which the queue is not known to have been empty. */
interface AcceptBurst {
  /** Connections of the burst have begun to wait after this. */
  readonly startedAt: Milliseconds;
  /** The newest measured wait; undefined before the first. */
  measuredWaitMs?: Milliseconds;
  /** Connections accepted since the last measurement. */
  unmeasured: number;
  lastAcceptedAt: Milliseconds;
  lastIteration: number;
  idleMs: Milliseconds;
}

/** A connection of the monitor that waits in the queue. */
interface Probe {
  readonly socket: Socket;
  readonly openedAt: Milliseconds;
  /** Connections accepted before the probe's own address was known, by the address of their client. */
  readonly accepted: Map<string, Socket>;
  /** `host:port` of the probe's end, known once it is connected. */
  ownAddress?: string;
  /** Connections accepted before it. */
  connections: number;
  /** Shortest wait to log next; doubles with each logged line. */
  logThresholdMs: Milliseconds;
}

const addressOf = (host?: string, port?: number): string => `${host}:${port}`;

/** An event loop that waits for input has none, so that the listen queue is empty. */
const minIdleMs: Milliseconds = 1;
/** Each connection of the box to itself takes the place of a caller's, so that one in so many is enough. */
const connectionsPerProbe = 8;
/** Shortest time between two of them, also where the queue is empty in between. */
const minProbeIntervalMs: Milliseconds = 500;
/** A queue that is emptied sooner needs no probe. */
const minProbedWaitMs: Milliseconds = 100;
/** Well below one second, after which callers abandon an unread request. */
const minLoggedWaitMs: Milliseconds = 250;

/** Creates a monitor that records metrics and logs long waits. */
export function createAcceptQueueMonitor({
  clock,
  logger,
  metrics,
  loopIterations,
  loopIdleMs,
  unreadSince,
  connect,
  onWait,
}: AcceptQueueMonitorOptions): AcceptQueueMonitor {
  let burst: AcceptBurst | undefined;
  let probe: Probe | undefined;
  let lastProbeAt: Milliseconds = -Infinity;

  const ageOf = ({ openedAt }: Probe): Milliseconds => clock.now() - openedAt;
  const endProbe = (ended: Probe) => {
    ended.socket.destroy();
    if (probe === ended) probe = undefined;
  };
  const startProbe = () => {
    const started: Probe = {
      socket: connect(),
      openedAt: clock.now(),
      accepted: new Map(),
      connections: 0,
      logThresholdMs: minLoggedWaitMs,
    };
    probe = started;
    lastProbeAt = started.openedAt;
    started.socket.once("connect", () => {
      const { localAddress, localPort } = started.socket;
      started.ownAddress = addressOf(localAddress, localPort);
      const own = started.accepted.get(started.ownAddress);
      if (own) endWait(started, own);
    });
    // A probe fails when the box stops listening, and tells nothing then.
    started.socket.on("error", () => endProbe(started));
    started.socket.once("close", () => endProbe(started));
  };
  const reportWait = (current: Probe): Milliseconds => {
    const waitMs = ageOf(current);
    onWait(waitMs);
    if (waitMs >= current.logThresholdMs) {
      current.logThresholdMs = waitMs * 2;
      logger.event("connectionsWaited", {
        connections: current.connections,
        waitedMs: Math.round(waitMs),
      });
    }
    return waitMs;
  };
  /** Ends the wait of the probe whose other end has been accepted. */
  const endWait = (ended: Probe, own: Socket) => {
    const waitMs = reportWait(ended);
    metrics.observe(
      "linkfall_connection_wait_ms",
      "Time for which a connection of the box to itself waited in the listen queue.",
      Math.round(waitMs),
    );
    if (burst) {
      burst.measuredWaitMs = waitMs;
      burst.unmeasured = 0;
    }
    endProbe(ended);
    own.destroy();
  };

  /** Continues the burst, or begins a new one if the queue has been empty meanwhile. */
  const continueBurst = (): AcceptBurst => {
    const now = clock.now();
    const iteration = loopIterations();
    const idleMs = loopIdleMs();
    const goesOn =
      burst !== undefined &&
      iteration <= burst.lastIteration + 1 &&
      idleMs - burst.idleMs < minIdleMs;
    if (!burst || !goesOn) {
      burst = {
        startedAt: unreadSince() ?? now,
        unmeasured: 0,
        lastAcceptedAt: now,
        lastIteration: iteration,
        idleMs,
      };
      return burst;
    }
    metrics.observe(
      "linkfall_accept_turn_ms",
      "Duration of an event loop iteration that accepted a connection right after another one.",
      Math.round(now - burst.lastAcceptedAt),
    );
    burst.lastAcceptedAt = now;
    burst.lastIteration = iteration;
    burst.idleMs = idleMs;
    return burst;
  };

  return {
    waitingSince() {
      const now = clock.now();
      if (!burst) return now;
      const { startedAt, measuredWaitMs } = burst;
      if (measuredWaitMs === undefined) return startedAt;
      return Math.max(startedAt, now - Math.max(measuredWaitMs, probe ? ageOf(probe) : 0));
    },
    connectionAccepted(socket) {
      const current = continueBurst();
      current.unmeasured += 1;
      if (!probe) {
        const now = clock.now();
        const isDue =
          now - lastProbeAt >= minProbeIntervalMs &&
          (current.measuredWaitMs === undefined || current.unmeasured >= connectionsPerProbe);
        if (isDue && now - current.startedAt >= minProbedWaitMs) startProbe();
        return;
      }
      const clientAddress = addressOf(socket.remoteAddress, socket.remotePort);
      if (probe.ownAddress === undefined) probe.accepted.set(clientAddress, socket);
      else if (probe.ownAddress === clientAddress) return endWait(probe, socket);
      probe.connections += 1;
      reportWait(probe);
    },
  };
}
