export * from "./box-ports.js";
export * from "./create-entry-box.js";
export * from "./entries.js";
export * from "./front.js";
export * from "./loop-watch.js";
export * from "./planned-stop.js";
