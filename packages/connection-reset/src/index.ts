/** Tells a connection that was reset from one that its peer has ended. */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Calls the listener if the end of the socket's data was a reset, before other listeners of "end" run.
 * Returns a function that removes it. To be called before the connection's peer address has been read, which Node keeps.
 */
export function onResetAtEnd(socket: Socket, listener: () => void): () => void {
  const handleEnd = () => {
    // A reset behind unread bytes is reported as a normal end, but the socket has no peer any more. Neither has one
    // that this side has ended as well.
    if (!socket.writableEnded && socket.remoteAddress === undefined) listener();
  };
  socket.prependOnceListener("end", handleEnd);
  return () => void socket.removeListener("end", handleEnd);
}

/** Calls the listener if the connection of the request is reset behind unread bytes, before its response ends. */
export function onRequestReset(request: ClientRequest, listener: () => void): void {
  request.once("socket", (socket) => {
    const remove = onResetAtEnd(socket, listener);
    // The connection may be used for further requests.
    request.once("close", remove);
  });
}

/**
 * Returns a function that tells, after the response has ended, whether all of it has arrived. Node.js counts a response without
 * a length as complete even if its connection was reset.
 */
export function watchCompleteness(request: ClientRequest): () => boolean {
  let response: IncomingMessage | undefined;
  let brokenOff = false;
  const recordBreak = () => {
    if (!response?.complete) brokenOff = true;
  };
  request.once("response", (incoming) => (response = incoming));
  request.on("error", recordBreak);
  onRequestReset(request, recordBreak);
  return () => response?.complete === true && !brokenOff;
}
