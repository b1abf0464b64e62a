/** Opens the TCP connections to targets; replaced in tests to cut a box off from them. */
import type { Agent, AgentOptions } from "node:http";
import { connect, type Socket } from "node:net";
import { createKeptAgent } from "@linkfall/response-bounds";

/** Starts to connect to a target. */
export type TargetConnector = (host: string, port: number) => Socket;

/** Starts to connect to `host:port`. */
export function connectToAddress(connector: TargetConnector, address: string): Socket {
  const separator = address.lastIndexOf(":");
  return connector(address.slice(0, separator), Number(address.slice(separator + 1)));
}

export const tcpConnector: TargetConnector = (host, port) => connect(port, host);

/** Creates an agent whose connections are opened by the connector. */
export function createTargetAgent(connector: TargetConnector, options: AgentOptions): Agent {
  const agent = createKeptAgent(options);
  agent.createConnection = ({ host, port }) => connector(String(host), Number(port));
  return agent;
}
