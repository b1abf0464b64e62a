/** Options of the gRPC channels between boxes. */
import { maxMessageBytes } from "./wire-format.js";

export const channelOptions = {
  "grpc.max_receive_message_length": maxMessageBytes,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 500,
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.enable_channelz": 0,
  "grpc.enable_http_proxy": 0,
};
