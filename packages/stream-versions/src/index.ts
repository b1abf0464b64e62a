export * from "./messages.js";
export * from "./stream-key.js";
export * from "./stream-versions.js";
