export * from "./once-memory.js";
export * from "./shared-response.js";
export * from "./tickets.js";
