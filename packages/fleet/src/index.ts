export * from "./belief.js";
export * from "./fleet.js";
export * from "./health.js";
