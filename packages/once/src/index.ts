export * from "./once-memory.js";
export * from "./shared-answer.js";
export * from "./tickets.js";
