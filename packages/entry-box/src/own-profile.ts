/** This box's profile, as sent to all other boxes. */
import type { BoxProfile } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { targetReachName } from "@linkfall/target-reach";
import type { BoxRuntime } from "./box-runtime.js";

/** Creates the current profile of this box. */
export function ownProfile({
  kernel,
  settings,
  incarnation,
  shutdown,
  activity,
}: BoxRuntime): BoxProfile {
  const { box } = settings;
  const feed = kernel.find(desiredFeedName);
  const { plain_services, engines } = settings.dispatch;
  const ready = feed.ready() && !shutdown.hasBegun();
  return {
    box: box.name,
    incarnation,
    frontAddress: box.front_address,
    peerAddress: box.peer_address,
    domain: box.domain,
    capacity: box.processor_share * box.processor_speed,
    ready,
    leaving: shutdown.hasBegun(),
    strained: activity.strained(),
    takesRequests: activity.takesRequests(),
    reading: feed.readsStore(),
    keepsStreams: true,
    dispatches: plain_services || engines ? true : undefined,
    relays: ready && kernel.find(targetReachName).reachesTargets(),
  };
}
