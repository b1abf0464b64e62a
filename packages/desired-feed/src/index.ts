export * from "./desired-feed.js";
export * from "./follow-stream.js";
