/**
 * Transport of messages between boxes: JSON over one gRPC stream per box, which is much cheaper than a unary
 * call per message.
 */
import {
  Client,
  credentials,
  type MethodDefinition,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { QuotaRequest, QuotaGrant } from "@linkfall/account-quota";
import {
  type RequestStream,
  createRequestStream,
  type NumberedMessage,
} from "@linkfall/ask-stream";
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { FrameStream } from "@linkfall/relayed-exchange";
import type { PlaceGrant, PlaceRequest } from "@linkfall/fragile-targets";
import type { DispatchMessage, DispatchReply } from "@linkfall/request-dispatch";
import type { StreamVersionsMessage, StreamVersionsReply } from "@linkfall/stream-versions";
import type { PermitRequest, PermitGrant } from "@linkfall/target-limits";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { channelOptions } from "./channel-options.js";
import { checkConfigurationCopy, checkHeartbeat, checkObject } from "./message-schemas.js";
import type { ConfigurationCopy, Heartbeat } from "./messages.js";
import { relayMethod, serveRelayCall } from "./relay-transport.js";
import { decodeMessage, encodeMessage } from "./wire-format.js";

/** Handles messages from other boxes. */
export interface PeerHandler {
  exchange(heartbeat: Heartbeat): Heartbeat;
  configuration(): ConfigurationCopy;
  /** Allocates part of an account's rate limit. */
  quota(ask: QuotaRequest): Promise<QuotaGrant>;
  /** Grants a permit for a target with a rate limit. */
  permit(ask: PermitRequest): Promise<PermitGrant>;
  /** Serves an exchange with a target for a box that is cut off from all targets. */
  relay(stream: FrameStream): void;
  /** Grants a place at a fragile target, or takes one back. */
  place(ask: PlaceRequest): Promise<PlaceGrant>;
  /** Keeps the software versions of streams that are told, records those that have to be, and answers for those that are wanted. */
  streams(message: StreamVersionsMessage): Promise<StreamVersionsReply>;
  /** Grants a place at a target of a service that this box dispatches. */
  dispatch(message: DispatchMessage): Promise<DispatchReply>;
}

/** Sends messages to other boxes. */
export interface PeerClient {
  exchange(address: string, heartbeat: Heartbeat): Promise<Either<PeerUnreachable, Heartbeat>>;
  configuration(address: string): Promise<Either<PeerUnreachable, ConfigurationCopy>>;
  quota(address: string, ask: QuotaRequest): Promise<Either<PeerUnreachable, QuotaGrant>>;
  permit(address: string, ask: PermitRequest): Promise<Either<PeerUnreachable, PermitGrant>>;
  place(address: string, ask: PlaceRequest): Promise<Either<PeerUnreachable, PlaceGrant>>;
  streams(
    address: string,
    message: StreamVersionsMessage,
  ): Promise<Either<PeerUnreachable, StreamVersionsReply>>;
  dispatch(
    address: string,
    message: DispatchMessage,
  ): Promise<Either<PeerUnreachable, DispatchReply>>;
  close(): void;
}

export interface PeerServer {
  listen(address: string): Promise<Either<string, string>>;
  close(): void;
}

/** A message; its answer has the same kind. */
type Ask =
  | { readonly kind: "heartbeat"; readonly heartbeat: Heartbeat }
  | { readonly kind: "configuration" }
  | { readonly kind: "quota"; readonly ask: QuotaRequest }
  | { readonly kind: "permit"; readonly ask: PermitRequest }
  | { readonly kind: "place"; readonly ask: PlaceRequest }
  | { readonly kind: "streams"; readonly message: StreamVersionsMessage }
  | { readonly kind: "dispatch"; readonly message: DispatchMessage };
type Answer =
  | { readonly kind: "heartbeat"; readonly heartbeat: Heartbeat }
  | { readonly kind: "configuration"; readonly copy: ConfigurationCopy }
  | { readonly kind: "quota"; readonly grant: QuotaGrant }
  | { readonly kind: "permit"; readonly grant: PermitGrant }
  | { readonly kind: "place"; readonly grant: PlaceGrant }
  | { readonly kind: "streams"; readonly reply: StreamVersionsReply }
  | { readonly kind: "dispatch"; readonly reply: DispatchReply };

const exchange: MethodDefinition<NumberedMessage<Ask>, NumberedMessage<Answer>> = {
  path: "/linkfall.Boxes/Exchange",
  requestStream: true,
  responseStream: true,
  requestSerialize: encodeMessage,
  requestDeserialize: decodeMessage,
  responseSerialize: encodeMessage,
  responseDeserialize: decodeMessage,
};

/** Unused streams are closed, since boxes of a large deployment contact many others only occasionally. */
const idleTimeoutMs: Milliseconds = 15_000;

interface OpenStream {
  readonly stream: RequestStream<Ask, Answer>;
  lastUsedAt: Milliseconds;
}

function dial(address: string) {
  const client = new Client(`ipv4:${address}`, credentials.createInsecure(), channelOptions);
  const { path, requestSerialize, responseDeserialize } = exchange;
  return {
    stream: client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize),
    close: () => client.close(),
  };
}

/** Called with the reason for which a message or an answer of another box was not applied. */
export type InvalidMessageListener = (problem: string) => void;

function invalidAnswer(reason: string): PeerUnreachable {
  return { kind: "peer_unreachable", reason, mayHaveArrived: true };
}

type AnswerOf<Kind extends Answer["kind"]> = Extract<Answer, { readonly kind: Kind }>;

/** Stands for the streams of a client that was closed. */
const closedStream: RequestStream<Ask, Answer> = {
  request: async () =>
    Left({ kind: "peer_unreachable", reason: "the client was closed", mayHaveArrived: false }),
  close: () => undefined,
};

/** Creates a client that keeps one stream per box. */
export function createPeerClient(
  clock: Clock,
  callTimeoutMs: Milliseconds,
  onInvalid: InvalidMessageListener,
): PeerClient {
  const streams = new Map<string, OpenStream>();
  let closed = false;

  const closeIdle = () => {
    const idleSince = clock.now() - idleTimeoutMs;
    for (const [address, { stream, lastUsedAt }] of streams) {
      if (lastUsedAt >= idleSince) continue;
      stream.close();
      streams.delete(address);
    }
  };
  const streamTo = (address: string): RequestStream<Ask, Answer> => {
    // A stream that is opened now would never be closed.
    if (closed) return closedStream;
    const existing = streams.get(address);
    if (existing) {
      existing.lastUsedAt = clock.now();
      return existing.stream;
    }
    closeIdle();
    const stream = createRequestStream<Ask, Answer>(clock, callTimeoutMs, () => dial(address));
    streams.set(address, { stream, lastUsedAt: clock.now() });
    return stream;
  };

  /** Sends the message; Left unless the answer is of the same kind and its part is valid. */
  const send = async <Kind extends Answer["kind"], Part>(
    address: string,
    ask: Extract<Ask, { readonly kind: Kind }>,
    checkPart: (answer: AnswerOf<Kind>) => Either<string, Part>,
  ): Promise<Either<PeerUnreachable, Part>> => {
    const reply = await streamTo(address).request(ask);
    return reply.chain((answer) => {
      const part =
        answer?.kind === ask.kind
          ? checkPart(answer as AnswerOf<Kind>)
          : Left(`answered with ${answer?.kind}`);
      return part.ifLeft(onInvalid).mapLeft(invalidAnswer);
    });
  };

  return {
    exchange: (address, heartbeat) =>
      send(address, { kind: "heartbeat", heartbeat }, (answer) => checkHeartbeat(answer.heartbeat)),
    configuration: (address) =>
      send(address, { kind: "configuration" }, ({ copy }) => checkConfigurationCopy(copy)),
    quota: (address, ask) =>
      send(address, { kind: "quota", ask }, ({ grant }) => checkObject(grant)),
    permit: (address, ask) =>
      send(address, { kind: "permit", ask }, ({ grant }) => checkObject(grant)),
    place: (address, ask) =>
      send(address, { kind: "place", ask }, ({ grant }) => checkObject(grant)),
    streams: (address, message) =>
      send(address, { kind: "streams", message }, ({ reply }) => checkObject(reply)),
    dispatch: (address, message) =>
      send(address, { kind: "dispatch", message }, ({ reply }) => checkObject(reply)),
    close() {
      closed = true;
      for (const { stream } of streams.values()) stream.close();
      streams.clear();
    },
  };
}

/** Returns the message if its handler may be called with it. */
function checkAsk(body: Ask): Either<string, Ask> {
  return checkObject(body).chain(checkPart);
}

function checkPart(ask: Ask): Either<string, Ask> {
  switch (ask.kind) {
    case "heartbeat":
      return checkHeartbeat(ask.heartbeat).map(() => ask);
    case "quota":
    case "permit":
    case "place":
      return checkObject(ask.ask).map(() => ask);
    case "streams":
    case "dispatch":
      return checkObject(ask.message).map(() => ask);
    default:
      return Right(ask);
  }
}

async function handleAsk(handler: PeerHandler, ask: Ask): Promise<Answer> {
  switch (ask.kind) {
    case "configuration":
      return { kind: ask.kind, copy: handler.configuration() };
    case "quota":
      return { kind: ask.kind, grant: await handler.quota(ask.ask) };
    case "permit":
      return { kind: ask.kind, grant: await handler.permit(ask.ask) };
    case "place":
      return { kind: ask.kind, grant: await handler.place(ask.ask) };
    case "heartbeat":
      return { kind: ask.kind, heartbeat: handler.exchange(ask.heartbeat) };
    case "streams":
      return { kind: ask.kind, reply: await handler.streams(ask.message) };
    case "dispatch":
      return { kind: ask.kind, reply: await handler.dispatch(ask.message) };
  }
}

/** Creates a server for messages from other boxes. */
export function createPeerServer(
  handler: PeerHandler,
  onInvalid: InvalidMessageListener,
): PeerServer {
  const server = new Server(channelOptions);
  /** Undefined for a message that is invalid, of an unknown kind, or whose handling fails; these have no answer. */
  const answerTo = async (body: Ask): Promise<Answer | undefined> => {
    try {
      const ask = checkAsk(body).ifLeft(onInvalid).toMaybe().extract();
      return ask && (await handleAsk(handler, ask));
    } catch (defect) {
      onInvalid(defect instanceof Error ? (defect.stack ?? defect.message) : String(defect));
      return undefined;
    }
  };
  const implementation: UntypedServiceImplementation = {
    exchange: ((call: ServerDuplexStream<NumberedMessage<Ask>, NumberedMessage<Answer>>) => {
      call.on("data", ({ number, body }: NumberedMessage<Ask>) => {
        if (body === undefined) return;
        void answerTo(body).then((answer) => {
          if (call.writable) call.write({ number, body: answer });
        });
      });
      call.on("end", () => call.end());
      call.on("error", () => undefined);
    }) as never,
    relay: ((call: ServerDuplexStream<Buffer, Buffer>) =>
      handler.relay(serveRelayCall(call))) as never,
  };
  server.addService({ exchange, relay: relayMethod } as never, implementation);
  return {
    listen: (address) =>
      new Promise((resolve) => {
        server.bindAsync(address, ServerCredentials.createInsecure(), (problem, port) => {
          const host = address.slice(0, address.lastIndexOf(":"));
          resolve(problem ? Left(problem.message) : Right(`${host}:${port}`));
        });
      }),
    close: () => server.forceShutdown(),
  };
}
