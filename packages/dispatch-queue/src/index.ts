export { createDispatchQueue } from "./dispatch-queue.js";
export type * from "./types.js";
