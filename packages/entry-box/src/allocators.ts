/** Which boxes hand out what all boxes share. */
import { type BoxProfile, peersName } from "@linkfall/box-peers";
import { rankNodes } from "@linkfall/rendezvous";
import type { BoxRuntime } from "./box-runtime.js";
import { strongCapacityThreshold } from "./entries.js";
import { ownProfile } from "./own-profile.js";

/**
 * Peer addresses of the boxes that may allocate for a name, the first to be asked first: strong boxes that
 * are not leaving, ranked by hash, so that boxes that know the same others ask the same one.
 */
export function rankAllocators(name: string, boxes: readonly BoxProfile[]): readonly string[] {
  const from = strongCapacityThreshold(boxes);
  const able = boxes.filter((box) => box.capacity >= from && !box.leaving);
  return rankNodes(
    name,
    able.map((box) => box.peerAddress),
  );
}

/** The same among the boxes that this one takes for alive. */
export function currentAllocators(parts: BoxRuntime, name: string): readonly string[] {
  return rankAllocators(name, [ownProfile(parts), ...parts.kernel.find(peersName).alive()]);
}
