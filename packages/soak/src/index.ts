export * from "./scenarios/run-seed.js";
export * from "./scenarios/world.js";
