export * from "./choose.js";
export * from "./estimate.js";
