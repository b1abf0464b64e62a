/** A proxy on loopback between two processes, whose bytes can be held up or cut from outside. */
import { createServer, type Server, Socket } from "node:net";

/** What a link does with bytes and with new connections. */
export type LinkMode =
  | { readonly kind: "open" }
  | { readonly kind: "delayed"; readonly ms: number }
  /** Holds up everything, both ways. */
  | { readonly kind: "silent" }
  /** Holds up what the caller sends. */
  | { readonly kind: "deaf" }
  /** Holds up what the target answers. */
  | { readonly kind: "mute" }
  /** Resets connections, those that stand and new ones. */
  | { readonly kind: "resetting" }
  /** As where no process runs: resets connections that stand, and takes no new ones. */
  | { readonly kind: "refusing" };

export interface Link {
  /** Where callers connect. */
  readonly address: string;
  setMode(mode: LinkMode): void;
  close(): void;
}

type Direction = "to_target" | "from_target";

const openMode: LinkMode = { kind: "open" };
const listenRetryMs = 100;

function isBlocked(mode: LinkMode, direction: Direction): boolean {
  if (mode.kind === "silent") return true;
  return mode.kind === (direction === "to_target" ? "deaf" : "mute");
}

function splitAddress(address: string): [host: string, port: number] {
  const separator = address.lastIndexOf(":");
  return [address.slice(0, separator), Number(address.slice(separator + 1))];
}

const sleep = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** A socket that is being shut down cannot be reset: Node would keep its handle for ever. */
function resetSocket(socket: Socket): void {
  if (socket.writableEnded || socket.destroyed) socket.destroy();
  else socket.resetAndDestroy();
}

/** Opens a link at `address` that leads to `target`. */
export async function openLink(address: string, target: string): Promise<Link> {
  let mode = openMode;
  let modeChangeWaiters: (() => void)[] = [];
  const connections = new Set<readonly [Socket, Socket]>();

  const nextModeChange = () =>
    new Promise<void>((resolve) => {
      modeChangeWaiters.push(resolve);
    });
  /** Resolves when bytes of this direction may pass. */
  const waitUntilUnblocked = async (direction: Direction): Promise<void> => {
    while (isBlocked(mode, direction)) await nextModeChange();
    if (mode.kind === "delayed") await sleep(mode.ms);
  };
  const resetConnection = (pair: readonly [Socket, Socket]) => {
    connections.delete(pair);
    for (const socket of pair) resetSocket(socket);
  };
  const forwardBytes = async (from: Socket, to: Socket, direction: Direction): Promise<void> => {
    for await (const chunk of from) {
      await waitUntilUnblocked(direction);
      if (to.destroyed) return;
      if (!to.write(chunk as Buffer)) {
        await new Promise<void>((resolve) => {
          to.once("drain", resolve);
          to.once("close", resolve);
        });
      }
    }
    await waitUntilUnblocked(direction);
    to.end();
  };

  const server: Server = createServer({ allowHalfOpen: true }, (caller) => {
    if (mode.kind === "resetting") return void caller.resetAndDestroy();
    const [host, port] = splitAddress(target);
    const upstream = new Socket({ allowHalfOpen: true });
    const pair = [caller, upstream] as const;
    connections.add(pair);
    upstream.connect(port, host);
    for (const [socket, other] of [pair, [upstream, caller] as const]) {
      socket.setNoDelay(true);
      socket.on("error", () => resetConnection(pair));
      // What one side has closed the other keeps open no longer than its last bytes take.
      socket.on("close", () => {
        other.destroySoon();
        if (other.destroyed) connections.delete(pair);
      });
    }
    forwardBytes(caller, upstream, "to_target").catch(() => resetConnection(pair));
    forwardBytes(upstream, caller, "from_target").catch(() => resetConnection(pair));
  });
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  let closed = false;
  const retryListening = () => {
    if (!closed && mode.kind !== "refusing" && !server.listening) server.listen(port, host);
  };
  // While nobody listens there, another process of this machine may take the port for a while.
  server.on("error", () => void setTimeout(retryListening, listenRetryMs));

  return {
    address,
    setMode(next) {
      mode = next;
      const resets = next.kind === "resetting" || next.kind === "refusing";
      if (resets) for (const pair of [...connections]) resetConnection(pair);
      if (next.kind === "refusing") server.close(retryListening);
      else retryListening();
      const waiters = modeChangeWaiters;
      modeChangeWaiters = [];
      for (const wake of waiters) wake();
    },
    close() {
      closed = true;
      server.close();
      mode = openMode;
      for (const pair of [...connections]) resetConnection(pair);
      for (const wake of modeChangeWaiters.splice(0)) wake();
    },
  };
}
