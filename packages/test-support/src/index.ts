export * from "./tests/resources.js";
export * from "./tests/notes.js";
export * from "./tests/keyed-store.js";
