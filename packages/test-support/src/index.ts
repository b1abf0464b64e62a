export * from "./tests/resources.js";
export * from "./tests/notes.js";
