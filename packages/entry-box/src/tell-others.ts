/** Tells other boxes at once of what can't wait for the next round of heartbeats. */
import { peersName } from "@linkfall/box-peers";
import type { Milliseconds } from "@linkfall/types";
import type { BoxRuntime } from "./box-runtime.js";

/** News of one moment are told in one message. */
const notifyDelayMs: Milliseconds = 10;

/** Tells the others soon; what is found meanwhile goes with it. */
export function createPeerNotifier({
  kernel,
  ports,
}: Pick<BoxRuntime, "kernel" | "ports">): () => void {
  let telling = false;
  return () => {
    if (telling) return;
    telling = true;
    ports.clock.after(notifyDelayMs, () => {
      telling = false;
      kernel.find(peersName).sendHeartbeats();
    });
  };
}
