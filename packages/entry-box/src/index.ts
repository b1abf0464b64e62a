export * from "./create-entry-box.js";
export * from "./front.js";
export * from "./planned-stop.js";
