/** Client for messages to other boxes. */
import { type ClientReadableStream, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { type RequestStream, createRequestStream } from "@linkfall/ask-stream";
import type { PeerUnreachable, TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { BodyPart, CallerRequest, CallerResponse, PeerPort, PeerState } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { Either, Left, Right } from "purify-ts";
import {
  fromBeatReply,
  fromReportsReply,
  toBeatRequest,
  toReportsMessage,
  toUsageMessage,
} from "./convert.js";
import {
  type Answer,
  type Ask,
  type ForwardPart,
  PeerClient,
  type StatePart,
} from "./generated/peer.js";
import { clientCredentials, type PeerTls } from "./peer-tls.js";

/** Connections that are idle for this long are closed, since their boxes are usually gone. */
const idleTimeoutMs: Milliseconds = 300_000;
const channelOptions = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1_000,
  "grpc.max_receive_message_length": 64_000_000,
  // Boxes connect directly, regardless of the environment's proxy settings.
  "grpc.enable_http_proxy": 0,
};
type AskBody = NonNullable<Ask["body"]>;
type AnswerBody = NonNullable<Answer["body"]>;

/** The message stream closes its connection independently and must not share it. */
const dedicatedConnection = { "grpc.use_local_subchannel_pool": 1 };

/** Open connections to one other box. */
interface PeerConnection {
  /** For forwarded requests and for fetching state. */
  readonly client: PeerClient;
  readonly stream: RequestStream<AskBody, AnswerBody>;
  lastUsedAt: Milliseconds;
}

/** A peer client that owns its connections. */
export interface PeerGrpcClient extends PeerPort {
  close(): void;
}

function unreachable(problem: unknown, mayHaveArrived: boolean): PeerUnreachable {
  return { kind: "peer_unreachable", reason: String(problem), mayHaveArrived };
}

/** A request that failed to connect cannot have arrived. */
function mayHaveArrived(problem: ServiceError): boolean {
  const failedToConnect = /ECONNREFUSED|No connection established|EHOSTUNREACH/.test(
    problem.message,
  );
  return !(problem.code === status.UNAVAILABLE && failedToConnect);
}

function truncated(reason: string): BodyPart {
  return Left<TargetUnreachable>({ kind: "target_unreachable", reason, mayHaveArrived: true });
}

/** Reads the body of a forwarded response; a stream that ends without its end marker is truncated. */
async function* readBody(parts: AsyncIterator<ForwardPart>): AsyncGenerator<BodyPart> {
  try {
    for (let next = await parts.next(); !next.done; next = await parts.next()) {
      const { part } = next.value;
      if (part?.$case === "chunk") yield Right(part.value);
      if (part?.$case === "whole") return;
    }
    yield truncated("the forwarded response was truncated");
  } catch (problem) {
    yield truncated(String(problem));
  }
}

async function readForwarded(
  stream: ClientReadableStream<ForwardPart>,
): Promise<Either<PeerUnreachable, CallerResponse>> {
  const parts = stream[Symbol.asyncIterator]() as AsyncIterator<ForwardPart>;
  try {
    const next = await parts.next();
    const first = next.done ? undefined : next.value.part;
    if (first?.$case !== "head") return Left(unreachable("the response has no head", true));
    return Right({
      status: first.value.status,
      headers: first.value.headers,
      body: readBody(parts),
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

type AnswerValue<K> = Extract<AnswerBody, { $case: K }>["value"];

/** Converts an answer of the expected kind; any other or incomplete answer is an error. */
function expectAnswer<K extends AnswerBody["$case"], T>(
  answer: Either<PeerUnreachable, AnswerBody>,
  kind: K,
  convert: (value: AnswerValue<K>) => T,
): Either<PeerUnreachable, T> {
  return answer.chain((body) => {
    if (body.$case !== kind) return Left(unreachable(`answered with ${body.$case}`, true));
    const value = body.value as AnswerValue<K>;
    return Either.encase(() => convert(value)).mapLeft((problem) => unreachable(problem, true));
  });
}

/** Creates the client of one box; `timeoutMs` applies to messages and to fetching state, not to forwarded requests. */
export function createPeerClient(
  clock: Clock,
  timeoutMs: Milliseconds,
  tls?: PeerTls,
): PeerGrpcClient {
  const connections = new Map<string, PeerConnection>();
  const credentials = clientCredentials(tls);

  const closePeer = ({ client, stream }: PeerConnection) => {
    client.close();
    stream.close();
  };

  const closeIdle = () => {
    const idleSince = clock.now() - idleTimeoutMs;
    for (const [address, peer] of connections) {
      if (peer.lastUsedAt >= idleSince) continue;
      closePeer(peer);
      connections.delete(address);
    }
  };

  const peerAt = (address: string): PeerConnection => {
    const existing = connections.get(address);
    if (existing) {
      existing.lastUsedAt = clock.now();
      return existing;
    }
    closeIdle();
    const dial = () => {
      const client = new PeerClient(address, credentials, {
        ...channelOptions,
        ...dedicatedConnection,
      });
      return { stream: client.exchange(), close: () => client.close() };
    };
    const peer: PeerConnection = {
      client: new PeerClient(address, credentials, channelOptions),
      stream: createRequestStream(clock, timeoutMs, dial),
      lastUsedAt: clock.now(),
    };
    connections.set(address, peer);
    return peer;
  };

  /** gRPC throws on an address that it can't parse. */
  const findPeer = (address: string): Either<PeerUnreachable, PeerConnection> =>
    Either.encase(() => peerAt(address)).mapLeft((problem) => unreachable(problem, false));

  const ask = async (
    address: string,
    body: AskBody,
  ): Promise<Either<PeerUnreachable, AnswerBody>> => {
    const peer = findPeer(address);
    if (peer.isLeft()) return peer as Either<PeerUnreachable, never>;
    return peer.unsafeCoerce().stream.request(body);
  };

  return {
    async heartbeat(address, message) {
      const body = { $case: "beat", value: toBeatRequest(message) } as const;
      return expectAnswer(await ask(address, body), "beat", fromBeatReply);
    },
    async reportUsage(address, report) {
      const body = { $case: "usage", value: toUsageMessage(report) } as const;
      const answer = await ask(address, body);
      return expectAnswer(answer, "usage", ({ accounts }) => accounts);
    },
    async readReports(address, request) {
      const body = { $case: "reports", value: toReportsMessage(request) } as const;
      return expectAnswer(await ask(address, body), "reports", fromReportsReply);
    },
    async fetchState(address) {
      const peer = findPeer(address);
      if (peer.isLeft()) return peer as Either<PeerUnreachable, never>;
      const stream = peer.unsafeCoerce().client.fetchState({});
      const cancelTimeout = clock.after(timeoutMs, () => stream.cancel());
      const state = await readState(stream);
      cancelTimeout();
      return state;
    },
    async forward(address, request: CallerRequest) {
      const peer = findPeer(address);
      if (peer.isLeft()) return peer as Either<PeerUnreachable, never>;
      const { method, path, headers, body } = request;
      const message = { method, path, headers: { ...headers }, body: Buffer.from(body) };
      const stream = peer.unsafeCoerce().client.forward(message, new Metadata());
      request.signal.addEventListener("abort", () => stream.cancel(), { once: true });
      return readForwarded(stream);
    },
    close() {
      for (const peer of connections.values()) closePeer(peer);
      connections.clear();
    },
  };
}
