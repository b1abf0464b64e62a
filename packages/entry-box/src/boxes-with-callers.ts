/** How many boxes share what callers bring, such as the retry budget. */
import { peersName } from "@linkfall/box-peers";
import type { BoxRuntime } from "./box-runtime.js";
import { strongCapacityThreshold } from "./entries.js";
import { ownProfile } from "./own-profile.js";

/** Boxes that callers use or are sent to, this one included. */
export function countBoxesWithCallers(parts: BoxRuntime): number {
  const peers = parts.kernel.find(peersName);
  if (peers.isFullMesh()) return peers.maxKnownBoxes();
  const own = ownProfile(parts);
  const boxes = [own, ...peers.alive()];
  const from = strongCapacityThreshold(boxes);
  const used = boxes.filter((box) => box === own || box.takesRequests || box.capacity >= from);
  return used.length;
}
