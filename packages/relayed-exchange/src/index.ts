/** Opens exchanges with targets by way of another box while this box is cut off from all targets. */
export type { FrameStream, FrameStreamListener } from "./frame-stream.js";
export { createRelay, type Relay, type RelayPorts, type TargetLookup } from "./relay.js";
export { openRelayedExchange, type RelayedTarget } from "./relayed-exchange.js";
export {
  createTargetPaths,
  type PathHooks,
  type PathPorts,
  type RelayBox,
  type TargetPaths,
} from "./target-paths.js";
