/** Checks whether an address accepts connections, to tell a crashed process from a lost connection. */
import type { Clock } from "@linkfall/kernel";
import type { ListenerStatus } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { connectToAddress, type TargetConnector, tcpConnector } from "./target-connector.js";

/** System error code of a connection to a port without a listener. */
const connectionRefusedCode = "ECONNREFUSED";

/** Connects to `host:port` and closes the connection again; resolves with `unknown` after `timeoutMs`. */
export function isListening(
  clock: Clock,
  address: string,
  timeoutMs: Milliseconds,
  connector: TargetConnector = tcpConnector,
): Promise<ListenerStatus> {
  const socket = connectToAddress(connector, address);
  return new Promise((resolve) => {
    const finish = (listening: ListenerStatus) => {
      cancel();
      socket.destroy();
      resolve(listening);
    };
    const cancel = clock.after(timeoutMs, () => finish("unknown"));
    socket.once("connect", () => finish("listens"));
    socket.on("error", (error: NodeJS.ErrnoException) =>
      finish(error.code === connectionRefusedCode ? "refuses" : "unknown"),
    );
  });
}
