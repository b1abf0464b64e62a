export * from "./account-quota.js";
export { createQuotaAllocator, type QuotaAllocator } from "./allocator.js";
export type { GrantSummary } from "./grant-summaries.js";
export * from "./messages.js";
export { unitsOf } from "./units.js";
export type { QuotaPeers, QuotaTolerance } from "./quota-source.js";
