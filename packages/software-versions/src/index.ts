export * from "./software-versions.js";
