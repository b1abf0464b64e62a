/** Provides the bounds on the connections of the box's ports. */
import type { Server } from "node:http";
import {
  type BoundedConnections,
  boundConnections,
  type ConnectionBoundsOptions,
  createReadTurns,
} from "@linkfall/connection-bounds";
import type { EntrySettings } from "@linkfall/entry-settings";
import type { HeldBytes } from "@linkfall/held-bytes";
import { metricsName } from "@linkfall/metrics";
import { reportDefect } from "@linkfall/request-defect";
import type { BoxRuntime } from "./box-runtime.js";

/** Ports at which a box listens for callers, operators and the platform. */
export type BoxPort = "front" | "directory" | "ready" | "metrics";

/** Bounds the connections of the server of a port; to be called before it listens. */
export type PortBounds = (
  server: Server,
  port: BoxPort,
  maxHeaderBytes: number,
  onMalformed?: ConnectionBoundsOptions["onMalformed"],
) => BoundedConnections;

/** Descriptors of a process that are not for sockets. */
const descriptorsForFiles = 200;
/** Shares of the others; the rest is for targets, boxes and the store. */
const descriptorShares: Readonly<Record<BoxPort, number>> = {
  front: 0.5,
  directory: 0.125,
  ready: 0.03,
  metrics: 0.03,
};
const minConnections = 8;
/** Memory of a connection with a request, and the share of the machine's memory that these may take at a port. */
const connectionBytes = 32_768;
const memoryShare = 0.1;
const bytesPerMegabyte = 1_048_576;

/** Highest number of connections at a port. */
export function maxConnectionsAt(port: BoxPort, { box }: Pick<EntrySettings, "box">): number {
  const byDescriptors = (box.max_descriptors - descriptorsForFiles) * descriptorShares[port];
  const byMemory = (box.memory_mb * bytesPerMegabyte * memoryShare) / connectionBytes;
  return Math.max(minConnections, Math.floor(Math.min(byDescriptors, byMemory)));
}

/** Creates the bounds, with one share of the processor's time for the connections of all ports. */
export function providePortBounds(
  { kernel, settings, ports }: BoxRuntime,
  held: HeldBytes,
): PortBounds {
  const metrics = kernel.find(metricsName);
  const turns = createReadTurns(ports.clock);
  return (server, port, maxHeaderBytes, onMalformed) =>
    boundConnections(server, {
      onMalformed,
      turns,
      held,
      maxHeaderBytes,
      maxConnections: maxConnectionsAt(port, settings),
      onDefect: (defect) => reportDefect(ports.logger, { path: port }, defect),
      onNotBegun(requests) {
        metrics.count(
          "linkfall_requests_not_begun_total",
          "Times that requests sent ahead were not begun as the response before them closed their connection, by port.",
          { port },
        );
        ports.logger.event("requestsNotBegun", { port, requests });
      },
      onClosed(reason, state) {
        metrics.count(
          "linkfall_connections_closed_total",
          "Connections closed to stay within a bound, by port, reason and what they did.",
          { port, reason, state },
        );
        ports.logger.event("connectionClosed", { port, reason, state });
      },
    });
}
