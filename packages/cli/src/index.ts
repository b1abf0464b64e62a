export * from "./run.js";
