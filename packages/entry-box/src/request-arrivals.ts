/**
 * Tells since when a request may have been waiting to be read. A box that is late reads late, and must not count the time of its
 * callers from then.
 */
import type { Socket } from "node:net";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";

export interface RequestArrivals {
  /** Records that a connection was accepted. */
  connectionAccepted(socket: Socket): void;
  /** Time since when the request that is being read on the connection may have been waiting. */
  arrivedAt(socket: Socket): Milliseconds;
}

export interface RequestArrivalsOptions {
  readonly clock: Clock;
  /** Start of the blocked period of the event loop whose input is being read; undefined if there is none. */
  unreadSince(): Milliseconds | undefined;
  /** Time since when the connection that was accepted last may have been waiting. */
  connectionWaitingSince(): Milliseconds;
  /** Iterations of the event loop since the process started. */
  loopIterations(): number;
}

interface AcceptedConnection {
  readonly waitingSince: Milliseconds;
  readonly iteration: number;
}

/** What a connection has received by the time it is accepted is read in the next iteration. */
const maxIterationsToRead = 1;

/** Creates the record of one server's connections. */
export function createRequestArrivals({
  clock,
  unreadSince,
  connectionWaitingSince,
  loopIterations,
}: RequestArrivalsOptions): RequestArrivals {
  /** Connections whose first request has not been read. */
  const accepted = new WeakMap<Socket, AcceptedConnection>();
  const readableSince = () => Math.min(clock.now(), unreadSince() ?? Infinity);

  return {
    connectionAccepted(socket) {
      const waitingSince = Math.min(readableSince(), connectionWaitingSince());
      accepted.set(socket, { waitingSince, iteration: loopIterations() });
    },
    arrivedAt(socket) {
      const connection = accepted.get(socket);
      accepted.delete(socket);
      // Later than that, the caller has sent the request after it connected.
      const isFirstRead =
        connection !== undefined && loopIterations() - connection.iteration <= maxIterationsToRead;
      return isFirstRead ? Math.min(connection.waitingSince, readableSince()) : readableSince();
    },
  };
}
