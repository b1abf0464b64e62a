/** Asks other boxes. */
import { type ClientReadableStream, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import type { PeerUnreachable, TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type {
  BodyPart,
  CallerRequest,
  CallerResponse,
  HeartbeatReply,
  PeerPort,
  PeerState,
  UsageTotals,
} from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { fromBeatReply, toBeatRequest, toUsageMessage } from "./convert.js";
import { type ForwardPart, PeerClient, type StatePart } from "./generated/peer.js";
import { clientCredentials, type PeerTls } from "./peer-tls.js";

/** Clients not used for so long are closed: their boxes are gone. */
const unusedClientMs: Milliseconds = 300_000;
const channelOptions = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1_000,
  "grpc.max_receive_message_length": 64_000_000,
  // Boxes meet each other directly, whatever proxy the environment names.
  "grpc.enable_http_proxy": 0,
};

interface HeldClient {
  readonly client: PeerClient;
  usedAt: Milliseconds;
}

export interface PeerGrpcClient extends PeerPort {
  close(): void;
}

function unreachable(problem: unknown, mayHaveArrived: boolean): PeerUnreachable {
  return { kind: "peer_unreachable", reason: String(problem), mayHaveArrived };
}

/** A call that found no connection has not arrived. */
function mayHaveArrived(problem: ServiceError): boolean {
  const noConnection = /ECONNREFUSED|No connection established|EHOSTUNREACH/.test(problem.message);
  return !(problem.code === status.UNAVAILABLE && noConnection);
}

function cut(reason: string): BodyPart {
  return Left<TargetUnreachable>({ kind: "target_unreachable", reason, mayHaveArrived: true });
}

/** The parts of a forwarded answer's body; a stream without its end marker was cut. */
async function* bodyOf(parts: AsyncIterator<ForwardPart>): AsyncGenerator<BodyPart> {
  try {
    for (let read = await parts.next(); !read.done; read = await parts.next()) {
      const { part } = read.value;
      if (part?.$case === "chunk") yield Right(part.value);
      if (part?.$case === "whole") return;
    }
    yield cut("the owner's answer was cut");
  } catch (problem) {
    yield cut(String(problem));
  }
}

async function readForwarded(
  stream: ClientReadableStream<ForwardPart>,
): Promise<Either<PeerUnreachable, CallerResponse>> {
  const parts = stream[Symbol.asyncIterator]() as AsyncIterator<ForwardPart>;
  try {
    const read = await parts.next();
    const first = read.done ? undefined : read.value.part;
    if (first?.$case !== "head") return Left(unreachable("no head came", true));
    return Right({
      status: first.value.status,
      headers: first.value.headers,
      body: bodyOf(parts),
    });
  } catch (problem) {
    return Left(unreachable(problem, mayHaveArrived(problem as ServiceError)));
  }
}

async function readState(
  stream: ClientReadableStream<StatePart>,
): Promise<Either<PeerUnreachable, PeerState>> {
  let data = "";
  let offset = 0;
  try {
    for await (const part of stream as AsyncIterable<StatePart>) {
      data += part.data;
      offset = part.offset;
    }
    return Right({ offset, data });
  } catch (problem) {
    return Left(unreachable(problem, true));
  }
}

/** Creates the client of one box; `limit` bounds heartbeats and the fetching of state. */
export function createPeerClient(clock: Clock, limit: Milliseconds, tls?: PeerTls): PeerGrpcClient {
  const clients = new Map<string, HeldClient>();
  const credentials = clientCredentials(tls);

  const closeUnused = () => {
    const oldest = clock.now() - unusedClientMs;
    for (const [address, held] of clients) {
      if (held.usedAt >= oldest) continue;
      held.client.close();
      clients.delete(address);
    }
  };

  const clientOf = (address: string): PeerClient => {
    const held = clients.get(address);
    if (held) {
      held.usedAt = clock.now();
      return held.client;
    }
    closeUnused();
    const client = new PeerClient(address, credentials, channelOptions);
    clients.set(address, { client, usedAt: clock.now() });
    return client;
  };

  const bounded = <T extends { cancel(): void }>(call: T): [T, () => void] => [
    call,
    clock.after(limit, () => call.cancel()),
  ];

  return {
    heartbeat: (address, message) =>
      new Promise<Either<PeerUnreachable, HeartbeatReply>>((resolve) => {
        const [, done] = bounded(
          clientOf(address).beat(toBeatRequest(message), (problem, reply) => {
            done();
            if (problem)
              return resolve(Left(unreachable(problem.message, mayHaveArrived(problem))));
            try {
              resolve(Right(fromBeatReply(reply)));
            } catch (incomplete) {
              resolve(Left(unreachable(incomplete, true)));
            }
          }),
        );
      }),
    reportUsage: (address, report) =>
      new Promise<Either<PeerUnreachable, UsageTotals>>((resolve) => {
        const [, done] = bounded(
          clientOf(address).reportUsage(toUsageMessage(report), (problem, totals) => {
            done();
            if (!problem) return resolve(Right(totals.accounts));
            resolve(Left(unreachable(problem.message, mayHaveArrived(problem))));
          }),
        );
      }),
    async fetchState(address) {
      const [stream, done] = bounded(clientOf(address).fetchState({}));
      const state = await readState(stream);
      done();
      return state;
    },
    forward(address, request: CallerRequest) {
      const { method, path, headers, body } = request;
      const message = { method, path, headers: { ...headers }, body: Buffer.from(body) };
      const stream = clientOf(address).forward(message, new Metadata());
      request.gone.addEventListener("abort", () => stream.cancel(), { once: true });
      return readForwarded(stream);
    },
    close() {
      for (const { client } of clients.values()) client.close();
      clients.clear();
    },
  };
}
