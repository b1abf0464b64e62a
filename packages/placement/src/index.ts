export * from "./plan.js";
export * from "./pool-view.js";
export * from "./working-pool.js";
