/** What this box tells of itself to everybody. */
import type { BoxProfile } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import type { BoxRuntime } from "./box-runtime.js";

export function ownProfile({
  kernel,
  settings,
  incarnation,
  shutdown: stop,
  activity,
}: BoxRuntime): BoxProfile {
  const { box } = settings;
  const feed = kernel.find(desiredFeedName);
  return {
    box: box.name,
    incarnation,
    frontAddress: box.front_address,
    peerAddress: box.peer_address,
    domain: box.domain,
    capacity: box.processor_share * box.processor_speed,
    ready: feed.ready() && !stop.hasBegun(),
    leaving: stop.hasBegun(),
    strained: activity.strained(),
    takesRequests: activity.takesRequests(),
    reading: feed.readsStore(),
  };
}
