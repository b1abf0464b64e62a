/** Puts a box on real ports: the system clock, HTTP, gRPC and the platform's addresses. */
import { readFileSync } from "node:fs";
import { type Box, createBox } from "@linkfall/box";
import type { Settings } from "@linkfall/config";
import { createEngineHttp } from "@linkfall/engine-http";
import type { AddressUnavailable } from "@linkfall/errors";
import { createHttpClient } from "@linkfall/http-client";
import { createHttpFront } from "@linkfall/http-front";
import { createJsonCaller } from "@linkfall/json-call";
import { systemClock, systemRandom } from "@linkfall/kernel";
import { createLogger, type Logger } from "@linkfall/logger";
import { createPeerClient, createPeerServer, type PeerTls } from "@linkfall/peer-grpc";
import { createBoxListHttp, createLogHttp } from "@linkfall/platform-http";
import { isListening } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import { type Either, EitherAsync } from "purify-ts";

/** A target that ended refuses at once; one that is cut off does not answer. */
const lookMs: Milliseconds = 100;

export interface Daemon {
  readonly box: Box;
  /** Planned stop. */
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

function addressOf(url: string): string {
  const { hostname, port, protocol } = new URL(url);
  return `${hostname}:${port || (protocol === "https:" ? "443" : "80")}`;
}

/**
 * Starts a box. The caller addresses of the settings must be those under which others reach it.
 *
 * @returns Left when it may not listen on one of its addresses; nothing of it serves then
 */
export async function startDaemon(
  settings: Settings,
  logger: Logger,
  onDefect: (problem: unknown) => void,
): Promise<Either<AddressUnavailable, Daemon>> {
  const clock = systemClock();
  const client = createHttpClient();
  const tls = readTls(settings);
  const platform = createJsonCaller(clock, client, settings.platform.log_timeout_ms);
  const engines = createJsonCaller(clock, client, settings.targets.call_timeout_ms);
  const peers = createPeerClient(clock, settings.targets.call_timeout_ms, tls);
  const box = createBox(settings, {
    clock,
    random: systemRandom(),
    logger,
    log: createLogHttp(platform, addressOf(settings.platform.log_url)),
    boxList: createBoxListHttp(platform, addressOf(settings.platform.list_url)),
    peers,
    engines: createEngineHttp(engines),
    targets: {
      send: client.send,
      probeListener: (address) => isListening(clock, address, lookMs),
    },
  });

  const limits = {
    maxBodyBytes: settings.callers.max_body_bytes,
    maxHeaderBytes: settings.callers.max_header_bytes,
    bodyTimeoutMs: settings.callers.body_timeout_ms,
  };
  const { caller_address, operator_address, peer_address } = settings.box;
  const front = { clock, limits, tls, onDefect: onDefect };
  const callers = createHttpFront({
    ...front,
    address: caller_address,
    handle: box.callers.handle,
  });
  const operators = createHttpFront({
    ...front,
    address: operator_address,
    handle: box.operators.handle,
  });
  const peerServer = createPeerServer(box.peerHandler, onDefect, tls);

  const daemon: Daemon = {
    box,
    async drain() {
      await box.drain();
      await callers.close();
      await operators.close();
      peerServer.close();
      peers.close();
      client.close();
    },
  };
  return (
    EitherAsync.fromPromise(() => peerServer.listen(peer_address))
      .chain(operators.listen)
      // Callers are refused as not ready until the box is; once it shows that it is, they can connect.
      .chain(callers.listen)
      .map(() => box.start())
      .map(() => daemon)
  );
}

/** The logger that the settings ask for. */
export function createDaemonLogger(settings: Settings): Logger {
  return createLogger(settings.box.name, settings.log.level);
}
