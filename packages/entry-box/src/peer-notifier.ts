/** Sends heartbeats early for changes that cannot wait for the next round. */
import { peersName } from "@linkfall/box-peers";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";

/** Changes within this time share one heartbeat. */
const notifyDelayMs: Milliseconds = 10;

/** Creates a function that schedules a heartbeat; calls before it is sent have no further effect. */
export function createPeerNotifier({
  kernel,
  ports,
}: Pick<BoxRuntime, "kernel" | "ports">): () => void {
  let scheduled = false;
  return () => {
    if (scheduled) return;
    scheduled = true;
    ports.clock.after(notifyDelayMs, () => {
      scheduled = false;
      kernel.find(peersName).sendHeartbeats();
    });
  };
}
