/** Runs a box with production adapters: the system clock, HTTP, gRPC and the platform's services. */
import { readFileSync } from "node:fs";
import { type Box, createBox } from "@linkfall/box";
import type { Settings } from "@linkfall/config";
import { createEngineHttp } from "@linkfall/engine-http";
import type { AddressUnavailable } from "@linkfall/errors";
import { createHttpClient } from "@linkfall/http-client";
import type { ClosedReason, ConnectionState } from "@linkfall/connection-bounds";
import { createFrontBounds, createHttpFront } from "@linkfall/http-front";
import { createJsonCaller } from "@linkfall/json-call";
import { systemClock, systemRandom } from "@linkfall/kernel";
import { createLogger, type Logger } from "@linkfall/logger";
import { createPeerClient, createPeerServer, type PeerTls } from "@linkfall/peer-grpc";
import { createBoxListHttp, createLogHttp } from "@linkfall/platform-http";
import { reportDefect } from "@linkfall/request-defect";
import { isListening } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import { type Either, EitherAsync } from "purify-ts";

/** Timeout of connection checks: a terminated target refuses at once, an unreachable one times out. */
const connectTimeoutMs: Milliseconds = 100;

export interface Daemon {
  readonly box: Box;
  /** Performs a planned stop: drains the box and closes its servers. */
  drain(): Promise<void>;
}

function readTls(settings: Settings): PeerTls | undefined {
  const { cert_file, key_file, ca_file } = settings.tls;
  if (cert_file === undefined || key_file === undefined) return undefined;
  const cert = readFileSync(cert_file, "utf8");
  const key = readFileSync(key_file, "utf8");
  const ca = ca_file === undefined ? cert : readFileSync(ca_file, "utf8");
  return { cert, key, ca };
}

function hostAndPort(url: string): string {
  const { hostname, port, protocol } = new URL(url);
  return `${hostname}:${port || (protocol === "https:" ? "443" : "80")}`;
}

/**
 * Starts a box. The addresses in the settings must be reachable by callers and peers.
 *
 * @param onDefect receives errors that indicate a bug
 * @returns Left if it cannot listen on one of its addresses; the box is not started then
 */
export async function startDaemon(
  settings: Settings,
  logger: Logger,
  onDefect: (problem: unknown) => void,
): Promise<Either<AddressUnavailable, Daemon>> {
  const clock = systemClock();
  const httpClient = createHttpClient();
  const tls = readTls(settings);
  const platformCaller = createJsonCaller(clock, httpClient, settings.platform.log_timeout_ms);
  const engineCaller = createJsonCaller(clock, httpClient, settings.targets.call_timeout_ms);
  const peerClient = createPeerClient(clock, settings.targets.call_timeout_ms, tls);
  const box = createBox(settings, {
    clock,
    random: systemRandom(),
    logger,
    log: createLogHttp(platformCaller, hostAndPort(settings.platform.log_url)),
    boxList: createBoxListHttp(platformCaller, hostAndPort(settings.platform.list_url), (problem) =>
      logger.event("badBoxEntry", { problem }),
    ),
    peers: peerClient,
    engines: createEngineHttp(engineCaller),
    targets: {
      send: httpClient.send,
      probeListener: (address) => isListening(clock, address, connectTimeoutMs),
    },
  });

  const limits = {
    maxBodyBytes: settings.callers.max_body_bytes,
    maxHeaderBytes: settings.callers.max_header_bytes,
    bodyTimeoutMs: settings.callers.body_timeout_ms,
    maxConnections: settings.callers.max_connections,
    maxHeldBytes: settings.callers.max_held_bytes,
  };
  const { caller_address, operator_address, peer_address } = settings.box;
  const frontOptions = {
    clock,
    limits,
    tls,
    bounds: createFrontBounds(clock, systemRandom(), limits),
    onConnectionClosed: (reason: ClosedReason, state: ConnectionState) =>
      logger.event("connectionClosed", { reason, state }),
    onDefect: (path: string, defect: unknown) => reportDefect(logger, { path }, defect),
  };
  const callerServer = createHttpFront({
    ...frontOptions,
    address: caller_address,
    handle: box.callers.handle,
  });
  const operatorServer = createHttpFront({
    ...frontOptions,
    address: operator_address,
    handle: box.operators.handle,
  });
  const peerServer = createPeerServer(box.peerHandler, onDefect, tls);

  const daemon: Daemon = {
    box,
    async drain() {
      await box.drain(callerServer);
      await operatorServer.close();
      peerServer.close();
      peerClient.close();
      httpClient.close();
    },
  };
  return (
    EitherAsync.fromPromise(() => peerServer.listen(peer_address))
      .chain(operatorServer.listen)
      // Listens for callers before the box starts: they are refused as not ready until it is.
      .chain(callerServer.listen)
      .map(() => box.start())
      .map(() => daemon)
  );
}

/** Creates the logger configured by the settings. */
export function createDaemonLogger(settings: Settings): Logger {
  return createLogger(settings.box.name, settings.log.level);
}
