export type { ActiveConfiguration } from "./configuration-tracker.js";
export * from "./desired-feed.js";
export * from "./feed-types.js";
export * from "./stream-follower.js";
export * from "./target-change-log.js";
