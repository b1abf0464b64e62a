/** Ports that connect a box to the simulated network. */
import type { BoxPorts } from "@linkfall/box";
import type { LogFailure, PeerUnreachable } from "@linkfall/errors";
import { withTimeout } from "@linkfall/kernel";
import type {
  BoxListPort,
  CallerResponse,
  EnginePort,
  ListenerStatus,
  LogPort,
  PeerPort,
  TargetPort,
  TargetRequest,
  TargetResponse,
} from "@linkfall/ports";
import type { EngineCore, EngineRequest } from "@linkfall/stand-ins";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Maybe, Right } from "purify-ts";
import { resolveUnlessKilled, bodyUntilAborted, bodyUntilKilled } from "./interruptible-bodies.js";
import type { PausableProcess } from "./pausable-process.js";
import { peerLost, targetLost } from "./network.js";
import type { World, WorldBox, WorldEngine } from "./world.js";

const peerTimeoutMs: Milliseconds = 1_500;

/** Records an external message, for the golden file. */
export type Trace = (line: string) => void;

/** A box of a simulated deployment, as its ports need it. */
export interface BoxConnection {
  readonly world: World;
  readonly name: string;
  readonly process: PausableProcess;
  readonly trace: Trace;
}

/** Ports of a box to other processes. */
export type ExternalPorts = Pick<BoxPorts, "log" | "boxList" | "peers" | "engines" | "targets">;

/** Creates the ports of one box. */
export function createWorldPorts(connection: BoxConnection): ExternalPorts {
  return {
    log: createLogPort(connection),
    boxList: createListPort(connection),
    peers: createPeerPort(connection),
    engines: createEnginePort(connection),
    targets: createTargetPort(connection),
  };
}

const logLoss = (): LogFailure => ({ kind: "log_unavailable", reason: "message lost" });

function createListPort({ world, name, process }: BoxConnection): BoxListPort {
  const lost = () => ({ kind: "log_unavailable", reason: "lost" }) as const;
  return {
    read: () =>
      process.deliver(world.network.exchange(name, "list", lost, () => world.list.read())),
  };
}

function engineAt(world: World, address: string): WorldEngine | undefined {
  return world.engines.find((engine) => engine.core.engine.address === address);
}

function boxAt(world: World, peerAddress: string): WorldBox | undefined {
  return world.boxes.find(
    (box) => box.process.state() !== "dead" && box.peerAddress === peerAddress,
  );
}

function createLogPort({ world, name, process, trace }: BoxConnection): LogPort {
  const { network, log } = world;
  return {
    append: (stream, data) =>
      process.deliver(
        network.exchange(name, "log", logLoss, async () => {
          trace(`${name} appends to ${stream}: ${data}`);
          return log.append(stream, data);
        }),
      ),
    read: (stream, from, limit) =>
      process.deliver(network.exchange(name, "log", logLoss, () => log.read(stream, from, limit))),
  };
}

function createEnginePort({ world, name, process, trace }: BoxConnection): EnginePort {
  const { network, random } = world;
  const call = <T>(address: string, act: (core: EngineCore) => T) => {
    const engine = engineAt(world, address);
    return process.deliver(
      network.exchange(name, engine?.core.engine.name ?? address, targetLost, async () =>
        engine && !engine.down ? Right(act(engine.core)) : Left(targetLost(false)),
      ),
    );
  };
  return {
    report: (address) => call(address, (core) => core.report()),
    raiseFence: (address, epoch) => call(address, (core) => core.raiseFence(epoch)),
    order(address, order, isPermitted) {
      if (!isPermitted()) return process.deliver(Promise.resolve(Left(targetLost(false))));
      const deliverOrder = () => {
        const engine = engineAt(world, address);
        if (engine && !engine.down) engine.core.order(order);
      };
      if (random.nextFloat() < network.faults.repeatedOrders) network.deliverLate(deliverOrder);
      if (random.nextFloat() < network.faults.lateOrders) {
        network.deliverLate(deliverOrder);
        return process.deliver(Promise.resolve(Left(targetLost(true))));
      }
      return call(address, (core) => {
        trace(`${name} orders ${order.engine}: ${JSON.stringify(order)}`);
        return core.order(order);
      });
    },
    cacheEvents: (address, after) => call(address, (core) => core.cacheEvents(after)),
  };
}

function handleEngineRequest(
  core: EngineCore,
  path: string,
  request: TargetRequest,
): TargetResponse {
  const attempt = () => decodeURIComponent(path.split("/")[3].split("?")[0]);
  if (request.method === "POST") {
    const body = JSON.parse(Buffer.from(request.body).toString("utf8")) as EngineRequest;
    return core.complete(request.headers["x-attempt-id"], body);
  }
  if (request.method === "GET") return core.resume(attempt(), Number(path.split("from=")[1]));
  core.cancel(attempt());
  return core.resume("", 0);
}

function createTargetPort({ world, name, process, trace }: BoxConnection): TargetPort {
  const { network, services } = world;
  return {
    async probeListener(address) {
      const engine = engineAt(world, address);
      const service = services.find((entry) => entry.address === address);
      const endpoint = engine?.core.engine.name ?? address;
      const readState = async () => Right((engine ?? service)?.down ? "refuses" : "listens");
      const state = await process.deliver(network.exchange(name, endpoint, targetLost, readState));
      return state.orDefault("unknown") as ListenerStatus;
    },
    async send(request, signal) {
      const engine = engineAt(world, request.address);
      const service = services.find((entry) => entry.address === request.address);
      const endpoint = engine?.core.engine.name ?? request.address;
      const act = async () => {
        trace(`${name} sends ${endpoint}: ${request.method} ${request.path}`);
        if (service?.down) return Left(targetLost(false));
        if (service)
          return Maybe.fromNullable(await service.call(request)).toEither(targetLost(true));
        if (!engine || engine.down) return Left(targetLost(false));
        return Right(handleEngineRequest(engine.core, request.path, request));
      };
      const result = await process.deliver(network.exchange(name, endpoint, targetLost, act));
      return result.map((response): TargetResponse => {
        const transferred = network.transferBody(endpoint, name, response.body);
        return { ...response, body: bodyUntilAborted(process.deliverBody(transferred), signal) };
      });
    },
  };
}

/** Calls a peer; fails if the peer is killed before it answers. */
async function callPeer<T>(world: World, peer: WorldBox, act: (peer: WorldBox) => Promise<T>) {
  const answer = peer.process.deliver(
    peer.process.deliver(Promise.resolve()).then(() => act(peer)),
  );
  const value = await resolveUnlessKilled(world.clock, peer.process, answer);
  return value === undefined ? Left(peerLost(true)) : Right(value);
}

function createPeerPort({ world, name, process }: BoxConnection): PeerPort {
  const { network } = world;
  const call = <T>(address: string, act: (peer: WorldBox) => Promise<T>) => {
    const peer = boxAt(world, address);
    return process.deliver(
      network.exchange(name, peer?.name ?? address, peerLost, async () =>
        peer && peer.process.state() !== "dead"
          ? callPeer(world, peer, act)
          : Left(peerLost(false)),
      ),
    );
  };
  const withPeerTimeout = async <T>(answer: Promise<Either<PeerUnreachable, T>>) =>
    (await withTimeout(process.clock, peerTimeoutMs, answer)) ?? Left(peerLost(true));
  return {
    heartbeat: (address, message) =>
      withPeerTimeout(call(address, async (peer) => peer.box.peerHandler.heartbeat(message))),
    reportUsage: (address, report) =>
      withPeerTimeout(call(address, async (peer) => peer.box.peerHandler.reportUsage(report))),
    readReports: (address, request) =>
      withPeerTimeout(call(address, async (peer) => peer.box.peerHandler.readReports(request))),
    fetchState: (address) =>
      withPeerTimeout(call(address, async (peer) => peer.box.peerHandler.fetchState())),
    async forward(address, request) {
      return call(address, async (peer) => {
        return withInterruptibleBody(world, peer, await peer.box.peerHandler.forward(request));
      });
    },
  };
}

/** Returns the response with a body that ends with an error if the box is killed. */
export function withInterruptibleBody(
  world: World,
  box: WorldBox,
  response: CallerResponse,
): CallerResponse {
  if (response.body instanceof Uint8Array) return response;
  return { ...response, body: bodyUntilKilled(world.clock, box.process, response.body) };
}
