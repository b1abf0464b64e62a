/** Counts the boxes that receive requests from callers, for limits divided among them. */
import { peersName } from "@linkfall/box-peers";
import type { BoxRuntime } from "./box-runtime.js";
import { strongCapacityThreshold } from "./entries.js";
import { ownProfile } from "./own-profile.js";

/** Number of boxes that callers use or are directed to, including this one. */
export function countBoxesWithCallers(runtime: BoxRuntime): number {
  const peers = runtime.kernel.find(peersName);
  if (peers.isFullMesh()) return peers.maxKnownBoxes();
  const own = ownProfile(runtime);
  const boxes = [own, ...peers.alive()];
  const minCapacity = strongCapacityThreshold(boxes);
  const used = boxes.filter(
    (box) => box === own || box.takesRequests || box.capacity >= minCapacity,
  );
  return used.length;
}
