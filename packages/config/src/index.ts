export * from "./keys.js";
export * from "./settings-schema.js";
export * from "./read-settings.js";
export * from "./describe-settings.js";
