export * from "./deployments.js";
export * from "./policy-run.js";
