export * from "./log-follower.js";
export * from "./restore.js";
