export * from "./chunk-buffer.js";
export * from "./deliver-reads.js";
