export * from "./messages.js";
export * from "./request-dispatch.js";
export * from "./types.js";
