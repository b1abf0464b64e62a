/** Bounds what the clients of an HTTP server take from the process: connections, turns of the event loop, and memory. */
import type { Server } from "node:http";
import { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import type { HeldBytes } from "@linkfall/held-bytes";
import { type Connection, isBusy } from "./connection.js";
import { type ConnectionState, createConnectionTable } from "./connection-table.js";
import { trackHandshakes } from "./handshakes.js";
import type { ReadTurns, TurnReader } from "./read-turns.js";
import { parseInStep, rejectHiddenRequests } from "./reject-hidden-requests.js";
import { followRequests } from "./request-frames.js";
import { beginInOrder } from "./request-order.js";

/** Why a connection was closed before its client closed it. */
export type ClosedReason =
  /** Another client connected while there were as many connections as allowed. */
  | "too many connections"
  /** It sent bytes that belong to no request. */
  | "bytes outside of requests"
  /** The process holds too many bytes to read on. */
  | "no room for its bytes"
  /** An exception was thrown while its bytes were parsed. */
  | "a defect";

export interface ConnectionBoundsOptions {
  readonly turns: ReadTurns;
  readonly maxConnections: number;
  /** Largest head of a request. */
  readonly maxHeaderBytes: number;
  /** Bound on bytes that have been read and wait for their turn; absent if there is none. */
  readonly held?: HeldBytes;
  onClosed(reason: ClosedReason, state: ConnectionState): void;
  /** Called with the number of requests that are not begun since the response before them has closed their connection. */
  onNotBegun(requests: number): void;
  /**
   * Called when bytes of a connection are no request, when a head does not come in time, or when the connection fails. Not called
   * while the client waits for a response, before which nothing may be written: the connection closes behind that response, or goes
   * on if only a head is late.
   */
  onMalformed?(problem: NodeJS.ErrnoException, socket: Socket): void;
  /** Called with an exception that was thrown while the bytes of a connection were parsed, before the connection is closed. */
  onDefect(defect: unknown): void;
}

/** What the bounds know of the server's connections. */
export interface BoundedConnections {
  /** Whether the client of the connection has sent bytes that wait for the response to the request before. */
  hasEarlyRequests(socket: Socket): boolean;
  /**
   * Resolves when the requests that have arrived by now have been begun, also on connections that wait to be accepted, or after a
   * bounded number of iterations of the event loop.
   */
  readArrived(): Promise<void>;
}

/** A head may come with bytes of the body before it, and a client may send line ends between requests. */
const maxBytesBesideHead = 131_072;
/** Iterations of the event loop in which `readArrived` waits at most: Node accepts one connection in each. */
const maxIterations = 100;
/** Iterations without anything new after which all that had arrived has been read: the first may be past its poll for bytes. */
const quietIterations = 2;
const endOfIteration = () => new Promise<void>((resolve) => setImmediate(resolve));

/** Node's server parses what its `data` listener gets; returns that listener, which is then called with slices. */
function takeParser(socket: Socket): ((bytes: Buffer) => void) | undefined {
  const [parse] = socket.listeners("data") as ((bytes: Buffer) => void)[];
  if (parse) socket.removeListener("data", parse);
  return parse;
}

/** Code of a head that has not come in time. */
const lateHeadCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** Codes of bytes that the parser takes for no request begin so; others are of the connection itself. */
const malformedCodePrefix = "HPE_";

/** Keeps what is wrong with the bytes behind a request from being written before the response to it. */
function rejectMalformed(
  server: Server | TlsServer,
  find: (socket: Socket) => Connection | undefined,
  stateOf: (socket: Socket) => ConnectionState | undefined,
  reject: NonNullable<ConnectionBoundsOptions["onMalformed"]>,
): void {
  server.on("clientError", (problem: NodeJS.ErrnoException, socket: Socket) => {
    const { code = "" } = problem;
    const connection = find(socket);
    const isMalformed = code.startsWith(malformedCodePrefix);
    // The parser would report the same problem for each further slice.
    if (connection && isMalformed) connection.isOutOfStep = true;
    const isRequestComplete =
      isBusy(stateOf(socket)) && connection?.response?.req.complete === true;
    if (!connection || !isRequestComplete) return reject(problem, socket);
    if (code === lateHeadCode) return;
    if (!isMalformed) return reject(problem, socket);
    connection.isMalformed = true;
    const { response, early } = connection;
    if (response && !response.headersSent && early.length === 0) response.shouldKeepAlive = false;
  });
}

/**
 * Bounds the connections of the server and begins the requests of each one after the other. It replaces the server's listener of
 * requests, and is to be called before the server listens.
 */
export function boundConnections(
  server: Server | TlsServer,
  options: ConnectionBoundsOptions,
): BoundedConnections {
  const table = createConnectionTable<Socket>();
  const connections = new Map<Socket, Connection>();
  const maxBytesOutside = options.maxHeaderBytes + maxBytesBesideHead;

  const close = (socket: Socket, reason: ClosedReason) => {
    const state = table.stateOf(socket);
    if (state === undefined) return;
    table.remove(socket);
    connections.delete(socket);
    options.onClosed(reason, state);
    socket.destroy();
  };
  /** A connection whose response is complete and whose client does not take it. */
  const findUnread = (): Socket | undefined => {
    for (const socket of table.inState("serving"))
      if (connections.get(socket)?.response?.writableEnded) return socket;
    return undefined;
  };
  const makeRoom = (newest: Socket) => {
    if (table.size() <= options.maxConnections) return;
    close(table.findSpare(newest) ?? findUnread() ?? newest, "too many connections");
  };
  const countBytes = (connection: Connection, bytes: number) => {
    if (table.stateOf(connection.socket) === "reading") return;
    connection.bytesOutside += bytes;
    if (connection.bytesOutside > maxBytesOutside)
      close(connection.socket, "bytes outside of requests");
  };
  const addReader = (connection: Connection): TurnReader | undefined => {
    const { socket, frames } = connection;
    const parser = takeParser(socket);
    if (!parser) return undefined;
    const parse = parseInStep(server, connection, parser);
    const countAndParse = (bytes: Buffer) => {
      countBytes(connection, bytes.length);
      if (!socket.destroyed) parse(bytes);
    };
    return options.turns.add(socket, countAndParse, {
      cut: frames.cut,
      hold: options.held?.holdBody(),
      onNoRoom: () => close(socket, "no room for its bytes"),
      onDefect(defect) {
        options.onDefect(defect);
        close(socket, "a defect");
      },
    });
  };

  const find = (socket: Socket) => connections.get(socket);
  beginInOrder(server, { table, find, ...options });
  rejectHiddenRequests(server, find);
  if (options.onMalformed) rejectMalformed(server, find, table.stateOf, options.onMalformed);
  const endHandshake = trackHandshakes(server, table, makeRoom);
  let accepted = 0;
  server.on("connection", () => void (accepted += 1));
  const isTls = server instanceof TlsServer;
  server.on(isTls ? "secureConnection" : "connection", (socket: Socket) => {
    endHandshake(socket);
    const frames = followRequests();
    const connection: Connection = { socket, frames, early: [], bytesOutside: 0 };
    connection.reader = addReader(connection);
    connections.set(socket, connection);
    table.add(socket);
    socket.once("close", () => {
      table.remove(socket);
      connections.delete(socket);
    });
    makeRoom(socket);
  });

  return {
    hasEarlyRequests(socket) {
      const { early = [], reader } = connections.get(socket) ?? {};
      return early.length > 0 || reader?.hasBytes() === true;
    },
    async readArrived() {
      let quiet = 0;
      for (let count = 0; quiet < quietIterations && count < maxIterations; count++) {
        const acceptedBefore = accepted;
        await endOfIteration();
        const isQuiet = accepted === acceptedBefore && !options.turns.hasWaiting();
        quiet = isQuiet ? quiet + 1 : 0;
      }
    },
  };
}
