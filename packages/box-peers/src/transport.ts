/** Heartbeats of boxes over gRPC, each message one JSON text. */
import {
  Client,
  credentials,
  type MethodDefinition,
  Server,
  ServerCredentials,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { ConfigurationCopy, Heartbeat } from "./messages.js";

/** What a box answers to others. */
export interface PeerHandler {
  exchange(heartbeat: Heartbeat): Heartbeat;
  configuration(): ConfigurationCopy;
}

/** Asks other boxes. */
export interface PeerClient {
  exchange(address: string, heartbeat: Heartbeat): Promise<Either<PeerUnreachable, Heartbeat>>;
  configuration(address: string): Promise<Either<PeerUnreachable, ConfigurationCopy>>;
  close(): void;
}

export interface PeerServer {
  listen(address: string): Promise<Either<string, string>>;
  close(): void;
}

interface None {
  readonly none?: never;
}

const toBytes = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

function method<Request, Reply>(name: string): MethodDefinition<Request, Reply> {
  return {
    path: `/linkfall.Peers/${name}`,
    requestStream: false,
    responseStream: false,
    requestSerialize: toBytes,
    requestDeserialize: (bytes) => JSON.parse(bytes.toString("utf8")) as Request,
    responseSerialize: toBytes,
    responseDeserialize: (bytes) => JSON.parse(bytes.toString("utf8")) as Reply,
  };
}

const methods = {
  exchange: method<Heartbeat, Heartbeat>("Exchange"),
  configuration: method<None, ConfigurationCopy>("Configuration"),
};

/** Largest message; a whole configuration with many routes fits. */
const longestMessage = 16 * 1024 * 1024;
const options = {
  "grpc.max_receive_message_length": longestMessage,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 500,
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.enable_channelz": 0,
};
/** After this many failures in a row a connection is given up for a new one. */
const failuresOfOneConnection = 2;

interface Connection {
  readonly client: Client;
  failures: number;
}

/** Creates a client that keeps one connection to each box that it asks. */
export function createPeerClient(clock: Clock, callMs: Milliseconds): PeerClient {
  const connections = new Map<string, Connection>();
  const connect = (address: string): Connection => {
    const known = connections.get(address);
    if (known) return known;
    const client = new Client(`ipv4:${address}`, credentials.createInsecure(), options);
    const connection = { client, failures: 0 };
    connections.set(address, connection);
    return connection;
  };
  const noteFailure = (address: string, connection: Connection) => {
    connection.failures += 1;
    if (connection.failures < failuresOfOneConnection) return;
    if (connections.get(address) === connection) connections.delete(address);
    connection.client.close();
  };
  const ask = <Request, Reply>(
    address: string,
    { path, requestSerialize, responseDeserialize }: MethodDefinition<Request, Reply>,
    request: Request,
  ): Promise<Either<PeerUnreachable, Reply>> =>
    new Promise((resolve) => {
      const connection = connect(address);
      const deadline = new Date(Date.parse(clock.wallTime()) + callMs);
      connection.client.makeUnaryRequest(
        path,
        requestSerialize,
        responseDeserialize,
        request,
        { deadline },
        (problem, reply) => {
          if (!problem && reply !== undefined) {
            connection.failures = 0;
            return resolve(Right(reply));
          }
          noteFailure(address, connection);
          const reason = problem?.message ?? "no reply";
          resolve(Left({ kind: "peer_unreachable", reason, mayHaveArrived: true }));
        },
      );
    });
  return {
    exchange: (address, heartbeat) => ask(address, methods.exchange, heartbeat),
    configuration: (address) => ask(address, methods.configuration, {}),
    close() {
      for (const { client } of connections.values()) client.close();
      connections.clear();
    },
  };
}

/** Creates a server that answers other boxes. */
export function createPeerServer(handler: PeerHandler): PeerServer {
  const server = new Server(options);
  const implementation: UntypedServiceImplementation = {
    exchange: ((call: { request: Heartbeat }, done: (problem: null, reply: Heartbeat) => void) =>
      done(null, handler.exchange(call.request))) as never,
    configuration: ((_call: unknown, done: (problem: null, reply: ConfigurationCopy) => void) =>
      done(null, handler.configuration())) as never,
  };
  server.addService(methods as never, implementation);
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
