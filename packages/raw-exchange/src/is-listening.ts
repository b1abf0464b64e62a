/** Whether anybody listens at an address: what tells a process that ended from a connection that was lost. */
import { connect } from "node:net";
import type { Clock } from "@linkfall/kernel";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

/** What the system calls a port where nobody listens. */
const connectionRefusedCode = "ECONNREFUSED";

/** Connects to `host:port` without sending anything, and closes the connection again. */
export function isListening(
  clock: Clock,
  address: string,
  timeoutMs: Milliseconds,
): Promise<ListenerStatus> {
  const mark = address.lastIndexOf(":");
  const socket = connect(Number(address.slice(mark + 1)), address.slice(0, mark));
  return new Promise((resolve) => {
    const finish = (listening: ListenerStatus) => {
      cancel();
      socket.destroy();
      resolve(listening);
    };
    const cancel = clock.after(timeoutMs, () => finish("unknown"));
    socket.once("connect", () => finish("listens"));
    socket.on("error", (problem: NodeJS.ErrnoException) =>
      finish(problem.code === connectionRefusedCode ? "refuses" : "unknown"),
    );
  });
}
