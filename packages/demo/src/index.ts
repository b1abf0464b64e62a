export * from "./desired-state.js";
