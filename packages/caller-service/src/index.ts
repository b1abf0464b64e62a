export { callerServiceName, createCallerService, type CallerService } from "./caller-service.js";
export { createInFlightLimiter, type InFlightLimiter, inFlightLimiterName } from "./in-flight.js";
export { ticketIssuerName } from "./entries.js";
export { localRate } from "./account-limits.js";
