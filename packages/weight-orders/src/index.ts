export * from "./engine-work.js";
export * from "./order-giver.js";
export * from "./store-loads.js";
export * from "./views.js";
