export * from "./create-box.js";
export * from "./ports.js";
