/** Targets that are leaving or have left, as remembered and replicated by all boxes. */
export * from "./departed-targets.js";
export * from "./leaving-targets.js";
