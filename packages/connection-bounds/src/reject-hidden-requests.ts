/** Rejects requests that the parser begins where no head ends: behind a carriage return that no line feed follows. */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from "node:http";
import type { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import type { Connection } from "./connection.js";

const code = "HPE_LF_EXPECTED";
const reason = "a header section or trailers do not end with an empty line";
/** Answer of a server that does not answer what is no request itself, as Node gives it. */
const badRequest = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";
const expectationFailedStatus = 417;

/** Reports bytes that are no request as Node's server does, and has nothing more of the connection parsed. */
function rejectRest(server: Server | TlsServer, connection: Connection): void {
  const { socket } = connection;
  connection.isOutOfStep = true;
  const problem = Object.assign(new Error(reason), { code });
  const isHandled = server.emit("clientError", problem, socket);
  if (!isHandled && socket.writable) socket.end(badRequest);
  // The parser waits for nothing on this connection, so that no limit of the server closes it if its client does not.
  if (socket.writableEnded) socket.setTimeout(server.keepAliveTimeout);
}

/** Wraps the parser of a connection, which gets the slices that its `frames` cut. */
export function parseInStep(
  server: Server | TlsServer,
  connection: Connection,
  parse: (bytes: Buffer) => void,
): (bytes: Buffer) => void {
  return (bytes) => {
    if (connection.isOutOfStep) return;
    const { frames, message } = connection;
    const mayEndTrailers = frames.sliceEnd() === "lone return" && message?.complete === false;
    parse(bytes);
    if (mayEndTrailers && message.complete) rejectRest(server, connection);
  };
}

/** Replaces the server's listeners of requests, which are called only for those whose head ends with an empty line. */
export function rejectHiddenRequests(
  server: Server | TlsServer,
  find: (socket: Socket) => Connection | undefined,
): void {
  const checked =
    (listeners: readonly RequestListener[]) =>
    (message: IncomingMessage, response: ServerResponse) => {
      const connection = find(message.socket);
      // The parser may be inside a slice of which it has rejected a part.
      if (connection?.isOutOfStep) return;
      if (connection && connection.frames.sliceEnd() !== "empty line")
        return rejectRest(server, connection);
      if (connection) connection.message = message;
      connection?.frames.beginBody(message);
      for (const listener of listeners) listener.call(server, message, response as never);
    };
  const requestListeners = server.listeners("request") as RequestListener[];
  server.removeAllListeners("request");
  server.on("request", checked(requestListeners));
  // Without a listener Node's server answers such a request itself, and goes on behind it.
  const rejectExpectation: RequestListener = (_message, response) =>
    void response.writeHead(expectationFailedStatus).end();
  server.on("checkExpectation", checked([rejectExpectation]));
}
