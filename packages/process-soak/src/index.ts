export * from "./tests/fault-series.js";
export * from "./tests/link.js";
export * from "./tests/promises.js";
export * from "./tests/supervised-process.js";
