export * from "./box-ports.js";
export * from "./create-entry-box.js";
export * from "./entries.js";
export * from "./front.js";
export * from "./event-loop-monitor.js";
export * from "./planned-stop.js";
export * from "./provide-connection-bounds.js";
export * from "./unread-input.js";
