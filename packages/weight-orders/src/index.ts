export type { DispatchRules, OrderDispatcherInput } from "./dispatcher-context.js";
export * from "./order-dispatcher.js";
