export type { OrderDispatcherInput, DispatchRules } from "./dispatcher-context.js";
export * from "./order-dispatcher.js";
