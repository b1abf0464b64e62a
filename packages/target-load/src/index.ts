export * from "./ejection.js";
export * from "./target-load.js";
