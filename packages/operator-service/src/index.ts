export {
  createOperatorService,
  type OperatorService,
  operatorServiceName,
} from "./operator-service.js";
export * from "./answers.js";
export * from "./drain-status.js";
