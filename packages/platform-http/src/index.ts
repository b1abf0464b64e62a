export * from "./box-list-http.js";
export * from "./log-http.js";
