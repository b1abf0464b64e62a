export * from "./log-port.js";
export * from "./box-list-port.js";
export * from "./target-port.js";
export * from "./engine-port.js";
export * from "./exchange.js";
export * from "./peer-port.js";
export * from "./keyed-stream-port.js";
export * from "./routed-ports.js";
