export * from "./answer-sink.js";
export * from "./attempt.js";
export * from "./forward.js";
export * from "./forwarded-request.js";
export * from "./pick.js";
export * from "./send-to-target.js";
export * from "./wait-for-change.js";
export * from "./work-costs.js";
