export * from "./belief.js";
export * from "./fleet.js";
export type { FleetRules, LapseRule } from "./fleet-state.js";
export * from "./health.js";
export { isSameLife } from "./lives.js";
