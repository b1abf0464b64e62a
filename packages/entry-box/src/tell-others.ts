/** Tells other boxes at once of what can't wait for the next round of heartbeats. */
import { peersName } from "@linkfall/box-peers";
import type { Milliseconds } from "@linkfall/types";
import type { BoxParts } from "./box-parts.js";

/** News of one moment are told in one message. */
const gatherMs: Milliseconds = 10;

/** Tells the others soon; what is found meanwhile goes with it. */
export function createTeller({ kernel, ports }: Pick<BoxParts, "kernel" | "ports">): () => void {
  let telling = false;
  return () => {
    if (telling) return;
    telling = true;
    ports.clock.after(gatherMs, () => {
      telling = false;
      kernel.find(peersName).send();
    });
  };
}
