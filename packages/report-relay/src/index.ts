export * from "./report-relay.js";
