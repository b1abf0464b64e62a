export * from "./bound-connections.js";
export * from "./connection-table.js";
export * from "./read-turns.js";
