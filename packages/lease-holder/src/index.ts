export * from "./lease-clock.js";
export * from "./lease-holder.js";
