export * from "./adapters.js";
export * from "./engine-view.js";
export * from "./eviction-cost.js";
export * from "./plan.js";
export * from "./plan-input.js";
