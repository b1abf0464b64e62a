/** What a box of a world reaches the outside with: links that may lose, delay and repeat. */
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
import { raceDeath, untilAborted, untilDead } from "./bodies.js";
import type { GatedProcess } from "./gated-process.js";
import { peerLost, targetLost } from "./network.js";
import type { World, WorldBox, WorldEngine } from "./world.js";

const peerLimitMs: Milliseconds = 1_500;

/** One exchange with the outside, for golden files. */
export type Trace = (line: string) => void;

/** The place of a box in a world. */
export interface Place {
  readonly world: World;
  readonly name: string;
  readonly process: GatedProcess;
  readonly trace: Trace;
}

/** Ports of one box to everything outside. */
export type OutsidePorts = Pick<BoxPorts, "log" | "boxList" | "peers" | "engines" | "targets">;

/** Creates the ports of one box. */
export function createWorldPorts(place: Place): OutsidePorts {
  return {
    log: createLogPort(place),
    boxList: createListPort(place),
    peers: createPeerPort(place),
    engines: createEnginePort(place),
    targets: createTargetPort(place),
  };
}

const logLost = (): LogFailure => ({ kind: "log_unavailable", reason: "lost on the way" });

function createListPort({ world, name, process }: Place): BoxListPort {
  const lost = () => ({ kind: "log_unavailable", reason: "lost" }) as const;
  return {
    read: () => process.gate(world.network.exchange(name, "list", lost, () => world.list.read())),
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

function createLogPort({ world, name, process, trace }: Place): LogPort {
  const { network, log } = world;
  return {
    append: (stream, data) =>
      process.gate(
        network.exchange(name, "log", logLost, async () => {
          trace(`${name} appends to ${stream}: ${data}`);
          return log.append(stream, data);
        }),
      ),
    read: (stream, from, limit) =>
      process.gate(network.exchange(name, "log", logLost, () => log.read(stream, from, limit))),
  };
}

function createEnginePort({ world, name, process, trace }: Place): EnginePort {
  const { network, random } = world;
  const ask = <T>(address: string, act: (core: EngineCore) => T) => {
    const engine = engineAt(world, address);
    return process.gate(
      network.exchange(name, engine?.core.engine.name ?? address, targetLost, async () =>
        engine && !engine.down ? Right(act(engine.core)) : Left(targetLost(false)),
      ),
    );
  };
  return {
    report: (address) => ask(address, (core) => core.report()),
    raiseFence: (address, epoch) => ask(address, (core) => core.raiseFence(epoch)),
    order(address, order) {
      const again = () => {
        const engine = engineAt(world, address);
        if (engine && !engine.down) engine.core.order(order);
      };
      if (random.nextFloat() < network.faults.repeatedOrders) network.deliverLate(again);
      if (random.nextFloat() < network.faults.lateOrders) {
        network.deliverLate(again);
        return process.gate(Promise.resolve(Left(targetLost(true))));
      }
      return ask(address, (core) => {
        trace(`${name} orders ${order.engine}: ${JSON.stringify(order)}`);
        return core.order(order);
      });
    },
    cacheEvents: (address, after) => ask(address, (core) => core.cacheEvents(after)),
  };
}

function engineAnswer(core: EngineCore, path: string, request: TargetRequest): TargetResponse {
  const attempt = () => decodeURIComponent(path.split("/")[3].split("?")[0]);
  if (request.method === "POST") {
    const body = JSON.parse(Buffer.from(request.body).toString("utf8")) as EngineRequest;
    return core.complete(request.headers["x-attempt-id"], body);
  }
  if (request.method === "GET") return core.resume(attempt(), Number(path.split("from=")[1]));
  core.cancel(attempt());
  return core.resume("", 0);
}

function createTargetPort({ world, name, process, trace }: Place): TargetPort {
  const { network, services } = world;
  return {
    async probeListener(address) {
      const engine = engineAt(world, address);
      const service = services.find((entry) => entry.address === address);
      const place = engine?.core.engine.name ?? address;
      const look = async () => Right((engine ?? service)?.down ? "refuses" : "listens");
      const looked = await process.gate(network.exchange(name, place, targetLost, look));
      return looked.orDefault("unknown") as ListenerStatus;
    },
    async send(request, signal) {
      const engine = engineAt(world, request.address);
      const service = services.find((entry) => entry.address === request.address);
      const place = engine?.core.engine.name ?? request.address;
      const act = async () => {
        trace(`${name} sends ${place}: ${request.method} ${request.path}`);
        if (service?.down) return Left(targetLost(false));
        if (service)
          return Maybe.fromNullable(await service.call(request)).toEither(targetLost(true));
        if (!engine || engine.down) return Left(targetLost(false));
        return Right(engineAnswer(engine.core, request.path, request));
      };
      const sent = await process.gate(network.exchange(name, place, targetLost, act));
      return sent.map((response): TargetResponse => {
        const carried = network.carry(place, name, response.body);
        return { ...response, body: untilAborted(process.gateBody(carried), signal) };
      });
    },
  };
}

/** What a peer answers, or that it died before it did. */
async function answerOf<T>(world: World, peer: WorldBox, act: (peer: WorldBox) => Promise<T>) {
  const answer = peer.process.gate(peer.process.gate(Promise.resolve()).then(() => act(peer)));
  const value = await raceDeath(world.clock, peer.process, answer);
  return value === undefined ? Left(peerLost(true)) : Right(value);
}

function createPeerPort({ world, name, process }: Place): PeerPort {
  const { network } = world;
  const ask = <T>(address: string, act: (peer: WorldBox) => Promise<T>) => {
    const peer = boxAt(world, address);
    return process.gate(
      network.exchange(name, peer?.name ?? address, peerLost, async () =>
        peer && peer.process.state() !== "dead"
          ? answerOf(world, peer, act)
          : Left(peerLost(false)),
      ),
    );
  };
  const limited = async <T>(asked: Promise<Either<PeerUnreachable, T>>) =>
    (await withTimeout(process.clock, peerLimitMs, asked)) ?? Left(peerLost(true));
  return {
    heartbeat: (address, message) =>
      limited(ask(address, async (peer) => peer.box.peerHandler.heartbeat(message))),
    reportUsage: (address, report) =>
      limited(ask(address, async (peer) => peer.box.peerHandler.reportUsage(report))),
    readReports: (address, request) =>
      limited(ask(address, async (peer) => peer.box.peerHandler.readReports(request))),
    fetchState: (address) =>
      limited(ask(address, async (peer) => peer.box.peerHandler.fetchState())),
    async forward(address, request) {
      return ask(address, async (peer) => {
        return bodyOver(world, peer, await peer.box.peerHandler.forward(request));
      });
    },
  };
}

/** A body that breaks off when the box that gives it dies. */
export function bodyOver(world: World, box: WorldBox, response: CallerResponse): CallerResponse {
  if (response.body instanceof Uint8Array) return response;
  return { ...response, body: untilDead(world.clock, box.process, response.body) };
}
