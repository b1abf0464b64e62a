export { callerServiceName, createCallerService, type CallerService } from "./caller-service.js";
export { createInFlight, type InFlight, inFlightName } from "./in-flight.js";
export { ticketOfficeName } from "./entries.js";
export { localRate } from "./account-limits.js";
