export * from "./pending-disconnects.js";
export * from "./on-caller-disconnect.js";
