/** Judges whether this box has lost its links to all targets, as opposed to targets that are down. */
export * from "./contract.js";
export { createTargetReach, defaultReachOptions } from "./target-reach.js";
