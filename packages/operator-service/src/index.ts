export {
  createOperatorService,
  type OperatorService,
  operatorServiceName,
} from "./operator-service.js";
export * from "./api-types.js";
export * from "./drain-status.js";
