export type { ConfigurationInForce } from "./configuration-holder.js";
export * from "./desired-feed.js";
export * from "./follow-stream.js";
export * from "./target-change-log.js";
