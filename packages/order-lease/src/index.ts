export * from "./contract.js";
export { createOrderLease } from "./order-lease.js";
