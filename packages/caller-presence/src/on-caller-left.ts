/** The moment at which a caller has left, as early as the runtime can tell it. */
import type { ServerResponse } from "node:http";

/**
 * Calls `left` once if the caller goes before its answer is written. The end of its socket tells so one turn of the event
 * loop before the close of the response does.
 */
export function onCallerDisconnect(response: ServerResponse, left: () => void): void {
  const { socket } = response;
  let done = false;
  const leave = () => {
    if (done || response.writableFinished) return;
    done = true;
    left();
  };
  socket?.once("end", leave);
  response.once("close", () => {
    socket?.off("end", leave);
    leave();
  });
}
