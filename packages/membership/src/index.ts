export * from "./member-table.js";
export * from "./membership.js";
export * from "./isolation.js";
