export * from "./target-view.js";
export * from "./fleet.js";
export type { FleetPolicies, LapsePolicy } from "./fleet-state.js";
export * from "./health.js";
export { isSameIncarnation } from "./incarnations.js";
