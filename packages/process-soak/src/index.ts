export * from "./fault-series.js";
export * from "./link.js";
export * from "./promises.js";
export * from "./supervised-process.js";
