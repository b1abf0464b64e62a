export * from "./run-daemon.js";
