/** Keeps connections for further requests as long as nothing but the answers to their requests arrives on them. */
import { Agent, type AgentOptions, type ClientRequest, type RequestOptions } from "node:http";
import type { Duplex } from "node:stream";

/** Method that Node calls with each request; not part of its documented interface. */
interface RequestQueue {
  addRequest(request: ClientRequest, options: RequestOptions): void;
}

/** Method of requests that change nothing. */
const readMethod = "GET";

/**
 * Calls the function when what had arrived by now has been read: the first callback may run before the event loop polls for
 * bytes, the second runs behind a poll.
 */
function afterArrivedBytes(run: () => void): void {
  setImmediate(() => setImmediate(run));
}

/**
 * Creates an agent that closes an idle connection on which bytes arrive: they may be a part of an answer to an earlier request,
 * and the next request would take what follows for its own. A request that may change something gets a kept connection when bytes
 * that had arrived before it have been read; on a busy event loop others would be late for that.
 */
export function createKeptAgent(options: AgentOptions): Agent {
  const agent = new Agent(options);
  const queue = agent as unknown as RequestQueue;
  const addRequest = queue.addRequest.bind(agent);
  const keepSocketAlive = agent.keepSocketAlive.bind(agent);
  const reuseSocket = agent.reuseSocket.bind(agent);
  const closers = new WeakMap<Duplex, () => void>();

  agent.keepSocketAlive = (socket) => {
    const close = () => void socket.destroy();
    closers.set(socket, close);
    socket.on("data", close);
    return keepSocketAlive(socket);
  };
  agent.reuseSocket = (socket, request) => {
    const close = closers.get(socket);
    if (close) socket.removeListener("data", close);
    reuseSocket(socket, request);
  };
  queue.addRequest = (request, requestOptions) => {
    const hasKept = agent.freeSockets[agent.getName(requestOptions)] !== undefined;
    if (!hasKept || request.method === readMethod) return addRequest(request, requestOptions);
    afterArrivedBytes(() => addRequest(request, requestOptions));
  };
  return agent;
}
