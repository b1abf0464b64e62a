export * from "./tests/fault-series.js";
export * from "./tests/link.js";
export * from "./tests/invariant-checks.js";
export * from "./tests/planned-stop-checks.js";
export * from "./tests/supervised-process.js";
export * from "./tests/unanswering-listener.js";
