export * from "./messages.js";
export { type StreamLog } from "./stored-streams.js";
export * from "./stream-key.js";
export * from "./stream-versions.js";
