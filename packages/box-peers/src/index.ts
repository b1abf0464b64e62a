export * from "./change-tracker.js";
export * from "./member.js";
export * from "./member-table.js";
export * from "./messages.js";
export * from "./peers.js";
export { createRelayDialler, type RelayDialler } from "./relay-transport.js";
export * from "./transport.js";
export { decodeMessage, encodeMessage } from "./wire-format.js";
