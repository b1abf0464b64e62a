export type { OrderGiverInput, OrderRules } from "./giver-context.js";
export * from "./order-giver.js";
