export * from "./scenarios/run-seed.js";
export { type ExtraSettings, operatorToken } from "./scenarios/settings.js";
export * from "./scenarios/world.js";
