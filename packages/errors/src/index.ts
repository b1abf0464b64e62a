export * from "./failures.js";
export * from "./invariant.js";
