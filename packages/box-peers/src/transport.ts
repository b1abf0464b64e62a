/**
 * Messages between boxes over gRPC, each one JSON text, all those to one box on one stream: a call for
 * each costs a small box about ten times as much.
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
import type { PermitRequest, PermitGrant } from "@linkfall/target-limits";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { ConfigurationCopy, Heartbeat } from "./messages.js";
import { decodeMessage, maxMessageBytes, encodeMessage } from "./wire-format.js";

/** What a box answers to others. */
export interface PeerHandler {
  exchange(heartbeat: Heartbeat): Heartbeat;
  configuration(): ConfigurationCopy;
  /** Allots a part of an account's limit. */
  quota(ask: QuotaRequest): Promise<QuotaGrant>;
  /** Hands out a permit at a target that has named a limit. */
  permit(ask: PermitRequest): Promise<PermitGrant>;
}

/** Asks other boxes. */
export interface PeerClient {
  exchange(address: string, heartbeat: Heartbeat): Promise<Either<PeerUnreachable, Heartbeat>>;
  configuration(address: string): Promise<Either<PeerUnreachable, ConfigurationCopy>>;
  quota(address: string, ask: QuotaRequest): Promise<Either<PeerUnreachable, QuotaGrant>>;
  permit(address: string, ask: PermitRequest): Promise<Either<PeerUnreachable, PermitGrant>>;
  close(): void;
}

export interface PeerServer {
  listen(address: string): Promise<Either<string, string>>;
  close(): void;
}

/** One message; its answer has the same kind. */
type Ask =
  | { readonly kind: "heartbeat"; readonly heartbeat: Heartbeat }
  | { readonly kind: "configuration" }
  | { readonly kind: "quota"; readonly ask: QuotaRequest }
  | { readonly kind: "permit"; readonly ask: PermitRequest };
type Answer =
  | { readonly kind: "heartbeat"; readonly heartbeat: Heartbeat }
  | { readonly kind: "configuration"; readonly copy: ConfigurationCopy }
  | { readonly kind: "quota"; readonly grant: QuotaGrant }
  | { readonly kind: "permit"; readonly grant: PermitGrant };

const exchange: MethodDefinition<NumberedMessage<Ask>, NumberedMessage<Answer>> = {
  path: "/linkfall.Boxes/Exchange",
  requestStream: true,
  responseStream: true,
  requestSerialize: encodeMessage,
  requestDeserialize: decodeMessage,
  responseSerialize: encodeMessage,
  responseDeserialize: decodeMessage,
};

/** A stream not used for so long is closed: a large deployment's boxes meet many others now and then. */
const idleTimeoutMs: Milliseconds = 15_000;
const channelOptions = {
  "grpc.max_receive_message_length": maxMessageBytes,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 500,
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.enable_channelz": 0,
  "grpc.enable_http_proxy": 0,
};

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

function unexpectedAnswer(answer: Answer): PeerUnreachable {
  const reason = `answered with ${answer.kind}`;
  return { kind: "peer_unreachable", reason, mayHaveArrived: true };
}

/** Creates a client that keeps one stream to each box that it asks. */
export function createPeerClient(clock: Clock, callMs: Milliseconds): PeerClient {
  const streams = new Map<string, OpenStream>();

  const closeUnused = () => {
    const oldest = clock.now() - idleTimeoutMs;
    for (const [address, { stream, lastUsedAt: usedAt }] of streams) {
      if (usedAt >= oldest) continue;
      stream.close();
      streams.delete(address);
    }
  };
  const streamTo = (address: string): RequestStream<Ask, Answer> => {
    const known = streams.get(address);
    if (known) {
      known.lastUsedAt = clock.now();
      return known.stream;
    }
    closeUnused();
    const stream = createRequestStream<Ask, Answer>(clock, callMs, () => dial(address));
    streams.set(address, { stream, lastUsedAt: clock.now() });
    return stream;
  };

  return {
    async exchange(address, heartbeat) {
      const answered = await streamTo(address).request({ kind: "heartbeat", heartbeat });
      return answered.chain((answer) =>
        answer.kind === "heartbeat" ? Right(answer.heartbeat) : Left(unexpectedAnswer(answer)),
      );
    },
    async configuration(address) {
      const answered = await streamTo(address).request({ kind: "configuration" });
      return answered.chain((answer) =>
        answer.kind === "configuration" ? Right(answer.copy) : Left(unexpectedAnswer(answer)),
      );
    },
    async quota(address, ask) {
      const answered = await streamTo(address).request({ kind: "quota", ask });
      return answered.chain((answer) =>
        answer.kind === "quota" ? Right(answer.grant) : Left(unexpectedAnswer(answer)),
      );
    },
    async permit(address, ask) {
      const answered = await streamTo(address).request({ kind: "permit", ask });
      return answered.chain((answer) =>
        answer.kind === "permit" ? Right(answer.grant) : Left(unexpectedAnswer(answer)),
      );
    },
    close() {
      for (const { stream } of streams.values()) stream.close();
      streams.clear();
    },
  };
}

async function handleAsk(handler: PeerHandler, ask: Ask): Promise<Answer> {
  switch (ask.kind) {
    case "configuration":
      return { kind: ask.kind, copy: handler.configuration() };
    case "quota":
      return { kind: ask.kind, grant: await handler.quota(ask.ask) };
    case "permit":
      return { kind: ask.kind, grant: await handler.permit(ask.ask) };
    case "heartbeat":
      return { kind: ask.kind, heartbeat: handler.exchange(ask.heartbeat) };
  }
}

/** Creates a server that answers other boxes. */
export function createPeerServer(handler: PeerHandler): PeerServer {
  const server = new Server(channelOptions);
  const implementation: UntypedServiceImplementation = {
    exchange: ((call: ServerDuplexStream<NumberedMessage<Ask>, NumberedMessage<Answer>>) => {
      call.on("data", ({ number, body }: NumberedMessage<Ask>) => {
        if (body === undefined) return;
        void handleAsk(handler, body).then((answer) => {
          if (call.writable) call.write({ number, body: answer });
        });
      });
      call.on("end", () => call.end());
      call.on("error", () => undefined);
    }) as never,
  };
  server.addService({ exchange } as never, implementation);
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
