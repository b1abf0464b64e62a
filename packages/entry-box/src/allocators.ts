/** Selects the boxes that allocate a limit shared by all boxes. */
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import { rankNodes } from "@linkfall/rendezvous";
import type { BoxRuntime } from "./box-runtime.js";
import { strongCapacityThreshold } from "./entries.js";
import { ownProfile } from "./own-profile.js";

/**
 * Peer addresses of the boxes that may allocate for a name, in order of preference: high-capacity boxes that
 * are not leaving, ranked by rendezvous hash, so that boxes with the same view of the members ask the same one.
 */
export function rankAllocators(name: string, boxes: readonly BoxProfile[]): readonly string[] {
  const minCapacity = strongCapacityThreshold(boxes);
  const eligible = boxes.filter((box) => box.capacity >= minCapacity && !box.leaving);
  return rankNodes(
    name,
    eligible.map((box) => box.peerAddress),
  );
}

/** Ranks the allocators among this box and the peers it considers alive. */
export function currentAllocators(runtime: BoxRuntime, name: string): readonly string[] {
  return rankAllocators(name, [ownProfile(runtime), ...runtime.kernel.find(peersName).alive()]);
}
