export * from "./types.js";
export * from "./target-capacities.js";
export type { WorkCosts } from "./work-costs.js";
