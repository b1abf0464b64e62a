export * from "./clock.js";
export * from "./kernel.js";
export * from "./random.js";
export * from "./repeat.js";
export * from "./virtual-clock.js";
export * from "./service-names.js";
