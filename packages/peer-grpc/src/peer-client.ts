/** Asks other boxes. */
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

/** Connections not used for so long are closed: their boxes are gone. */
const idleTimeoutMs: Milliseconds = 300_000;
const channelOptions = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1_000,
  "grpc.max_receive_message_length": 64_000_000,
  // Boxes meet each other directly, whatever proxy the environment names.
  "grpc.enable_http_proxy": 0,
};
type AskBody = NonNullable<Ask["body"]>;
type AnswerBody = NonNullable<Answer["body"]>;

/** The stream of small messages gives its connection up alone, so it shares none. */
const dedicatedConnection = { "grpc.use_local_subchannel_pool": 1 };

/** What is open to one other box. */
interface PeerConnection {
  /** For forwarded requests and the fetching of state. */
  readonly client: PeerClient;
  readonly stream: RequestStream<AskBody, AnswerBody>;
  lastUsedAt: Milliseconds;
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

function truncated(reason: string): BodyPart {
  return Left<TargetUnreachable>({ kind: "target_unreachable", reason, mayHaveArrived: true });
}

/** The parts of a forwarded answer's body; a stream without its end marker was cut. */
async function* readBody(parts: AsyncIterator<ForwardPart>): AsyncGenerator<BodyPart> {
  try {
    for (let read = await parts.next(); !read.done; read = await parts.next()) {
      const { part } = read.value;
      if (part?.$case === "chunk") yield Right(part.value);
      if (part?.$case === "whole") return;
    }
    yield truncated("the owner's answer was cut");
  } catch (problem) {
    yield truncated(String(problem));
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

/** The answer of one kind; any other, or one that lacks a part, counts as none. */
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

/** Creates the client of one box; `limit` bounds small messages and the fetching of state. */
export function createPeerClient(clock: Clock, limit: Milliseconds, tls?: PeerTls): PeerGrpcClient {
  const held = new Map<string, PeerConnection>();
  const credentials = clientCredentials(tls);

  const closePeer = ({ client, stream }: PeerConnection) => {
    client.close();
    stream.close();
  };

  const closeUnused = () => {
    const oldest = clock.now() - idleTimeoutMs;
    for (const [address, peer] of held) {
      if (peer.lastUsedAt >= oldest) continue;
      closePeer(peer);
      held.delete(address);
    }
  };

  const peerAt = (address: string): PeerConnection => {
    const known = held.get(address);
    if (known) {
      known.lastUsedAt = clock.now();
      return known;
    }
    closeUnused();
    const dial = () => {
      const client = new PeerClient(address, credentials, {
        ...channelOptions,
        ...dedicatedConnection,
      });
      return { stream: client.exchange(), close: () => client.close() };
    };
    const peer: PeerConnection = {
      client: new PeerClient(address, credentials, channelOptions),
      stream: createRequestStream(clock, limit, dial),
      lastUsedAt: clock.now(),
    };
    held.set(address, peer);
    return peer;
  };

  return {
    async heartbeat(address, message) {
      const body = { $case: "beat", value: toBeatRequest(message) } as const;
      return expectAnswer(await peerAt(address).stream.request(body), "beat", fromBeatReply);
    },
    async reportUsage(address, report) {
      const body = { $case: "usage", value: toUsageMessage(report) } as const;
      const answer = await peerAt(address).stream.request(body);
      return expectAnswer(answer, "usage", ({ accounts }) => accounts);
    },
    async readReports(address, request) {
      const body = { $case: "reports", value: toReportsMessage(request) } as const;
      return expectAnswer(await peerAt(address).stream.request(body), "reports", fromReportsReply);
    },
    async fetchState(address) {
      const stream = peerAt(address).client.fetchState({});
      const done = clock.after(limit, () => stream.cancel());
      const state = await readState(stream);
      done();
      return state;
    },
    forward(address, request: CallerRequest) {
      const { method, path, headers, body } = request;
      const message = { method, path, headers: { ...headers }, body: Buffer.from(body) };
      const stream = peerAt(address).client.forward(message, new Metadata());
      request.signal.addEventListener("abort", () => stream.cancel(), { once: true });
      return readForwarded(stream);
    },
    close() {
      for (const peer of held.values()) closePeer(peer);
      held.clear();
    },
  };
}
