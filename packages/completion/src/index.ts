export { completionsName, createCompletions, type Completions } from "./completion.js";
export * from "./engine-stream.js";
export * from "./job.js";
export * from "./retry-budget.js";
