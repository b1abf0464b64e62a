export * from "./events.js";
export * from "./logger.js";
export * from "./bounded-logger.js";
