export * from "./tests/resources.js";
export * from "./tests/scenario-state.js";
export * from "./tests/keyed-store.js";
export * from "./tests/ending-server.js";
export * from "./tests/broken-request.js";
