export * from "./peers.js";
export * from "./transport.js";
export * from "./words.js";
