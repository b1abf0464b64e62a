export * from "./http-front.js";
export * from "./read-request.js";
export * from "./write-response.js";
