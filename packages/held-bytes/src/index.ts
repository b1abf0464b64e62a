export * from "./held-bytes.js";
export * from "./target-bodies.js";
