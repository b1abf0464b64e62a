export * from "./identifiers.js";
export * from "./resources.js";
export * from "./targets.js";
export * from "./orders.js";
export * from "./outcomes.js";
export * from "./members.js";
export * from "./records.js";
