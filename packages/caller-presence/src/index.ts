export * from "./look-for-caller.js";
export * from "./on-caller-left.js";
