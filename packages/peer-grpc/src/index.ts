export * from "./peer-client.js";
export * from "./peer-server.js";
export * from "./peer-tls.js";
