export * from "./pool-control.js";
export * from "./pool-session.js";
