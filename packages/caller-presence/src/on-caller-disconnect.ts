/** Detects the disconnect of a caller as early as Node.js reports it. */
import type { ServerResponse } from "node:http";

/**
 * Calls `listener` once if the caller disconnects before the response is written. The socket's `end` event precedes
 * the response's `close` event by one iteration of the event loop.
 */
export function onCallerDisconnect(response: ServerResponse, listener: () => void): void {
  const { socket } = response;
  let notified = false;
  const notify = () => {
    if (notified || response.writableFinished) return;
    notified = true;
    listener();
  };
  socket?.once("end", notify);
  response.once("close", () => {
    socket?.off("end", notify);
    notify();
  });
}
