export * from "./apply.js";
export * from "./references.js";
export * from "./schemas.js";
export * from "./snapshot.js";
export * from "./state.js";
export * from "./views.js";
