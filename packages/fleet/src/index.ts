export * from "./target-view.js";
export * from "./fleet.js";
export type { FleetPolicies, LapsePolicy } from "./fleet-state.js";
export * from "./health.js";
export type { RestingTarget, RestRequest } from "./rests.js";
