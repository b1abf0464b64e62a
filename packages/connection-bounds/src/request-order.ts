/** Begins the requests of each connection one after the other. */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import { type Connection, type EarlyRequest, isBusy } from "./connection.js";
import type { ConnectionTable } from "./connection-table.js";

export interface RequestOrderOptions {
  readonly table: ConnectionTable<Socket>;
  find(socket: Socket): Connection | undefined;
  /** Called with the number of requests that are not begun since the response before them has closed their connection. */
  onNotBegun(requests: number): void;
}

/** Replaces the server's listeners of requests, which are called with one request of a connection at a time. */
export function beginInOrder(
  server: Server | TlsServer,
  { table, find, onNotBegun }: RequestOrderOptions,
): void {
  const listeners = server.listeners("request") as RequestListener[];

  const handleClosed = (connection: Connection) => {
    const { socket, reader, early } = connection;
    if (socket.destroyed) return;
    // The response was the last one on its connection.
    if (socket.writableEnded) {
      if (early.length > 0) onNotBegun(early.splice(0).length);
      return;
    }
    const next = early.shift();
    if (!next && connection.isMalformed) return socket.destroySoon();
    if (early.length === 0) reader?.resume();
    if (next) begin(connection, next);
    else table.setState(socket, "idle");
  };
  const begin = (connection: Connection, { message, response }: EarlyRequest) => {
    const { socket, reader } = connection;
    table.setState(socket, "reading");
    connection.bytesOutside = 0;
    connection.response = response;
    message.once("end", () => {
      if (response.closed) return;
      table.setState(socket, "serving");
      connection.bytesOutside = 0;
      reader?.recordRequest();
    });
    response.once("close", () => handleClosed(connection));
    for (const listener of listeners) listener.call(server, message, response as never);
  };
  server.removeAllListeners("request");
  server.on("request", (message: IncomingMessage, response: ServerResponse) => {
    const connection = find(message.socket);
    // The connection has been closed, and the parser is still inside its last bytes, or its client has had a final rejection.
    if (!connection || message.socket.writableEnded) return;
    if (!isBusy(table.stateOf(connection.socket))) return begin(connection, { message, response });
    connection.early.push({ message, response });
    connection.reader?.suspend();
  });
}
