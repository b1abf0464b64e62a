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

const open: LinkMode = { kind: "open" };
const listenAgainMs = 100;

function holdsUp(mode: LinkMode, direction: Direction): boolean {
  if (mode.kind === "silent") return true;
  return mode.kind === (direction === "to_target" ? "deaf" : "mute");
}

function splitAddress(address: string): [host: string, port: number] {
  const mark = address.lastIndexOf(":");
  return [address.slice(0, mark), Number(address.slice(mark + 1))];
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
  let mode = open;
  let changed: (() => void)[] = [];
  const pairs = new Set<readonly [Socket, Socket]>();

  const nextChange = () =>
    new Promise<void>((resolve) => {
      changed.push(resolve);
    });
  /** Resolves when bytes of this direction may pass. */
  const gate = async (direction: Direction): Promise<void> => {
    while (holdsUp(mode, direction)) await nextChange();
    if (mode.kind === "delayed") await sleep(mode.ms);
  };
  const resetBoth = (pair: readonly [Socket, Socket]) => {
    pairs.delete(pair);
    for (const socket of pair) resetSocket(socket);
  };
  const carry = async (from: Socket, to: Socket, direction: Direction): Promise<void> => {
    for await (const chunk of from) {
      await gate(direction);
      if (to.destroyed) return;
      if (!to.write(chunk as Buffer)) {
        await new Promise<void>((resolve) => {
          to.once("drain", resolve);
          to.once("close", resolve);
        });
      }
    }
    await gate(direction);
    to.end();
  };

  const server: Server = createServer({ allowHalfOpen: true }, (caller) => {
    if (mode.kind === "resetting") return void caller.resetAndDestroy();
    const [host, port] = splitAddress(target);
    const onward = new Socket({ allowHalfOpen: true });
    const pair = [caller, onward] as const;
    pairs.add(pair);
    onward.connect(port, host);
    for (const [socket, other] of [pair, [onward, caller] as const]) {
      socket.setNoDelay(true);
      socket.on("error", () => resetBoth(pair));
      // What one side has closed the other keeps open no longer than its last bytes take.
      socket.on("close", () => {
        other.destroySoon();
        if (other.destroyed) pairs.delete(pair);
      });
    }
    carry(caller, onward, "to_target").catch(() => resetBoth(pair));
    carry(onward, caller, "from_target").catch(() => resetBoth(pair));
  });
  const [host, port] = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  let closed = false;
  const listenAgain = () => {
    if (!closed && mode.kind !== "refusing" && !server.listening) server.listen(port, host);
  };
  // While nobody listens there, another process of this machine may take the port for a while.
  server.on("error", () => void setTimeout(listenAgain, listenAgainMs));

  return {
    address,
    setMode(next) {
      mode = next;
      const resets = next.kind === "resetting" || next.kind === "refusing";
      if (resets) for (const pair of [...pairs]) resetBoth(pair);
      if (next.kind === "refusing") server.close(listenAgain);
      else listenAgain();
      const woken = changed;
      changed = [];
      for (const wake of woken) wake();
    },
    close() {
      closed = true;
      server.close();
      mode = open;
      for (const pair of [...pairs]) resetBoth(pair);
      for (const wake of changed.splice(0)) wake();
    },
  };
}
