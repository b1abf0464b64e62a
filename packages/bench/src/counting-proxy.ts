/** A TCP proxy on loopback that counts the bytes it forwards. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export interface CountingProxy {
  readonly address: string;
  /** Bytes forwarded so far, both directions together. */
  totalBytes(): number;
  close(): Promise<void>;
}

/** Starts a proxy to a port on loopback. */
export async function openCountingProxy(port: number): Promise<CountingProxy> {
  let count = 0;
  const sockets = new Set<Socket>();
  const forward = (from: Socket, to: Socket) => {
    sockets.add(from);
    from.on("data", (chunk) => {
      count += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => to.destroy());
    from.on("close", () => to.destroy());
  };
  const server = createServer((client) => {
    const upstream = connect(port, "127.0.0.1");
    client.setNoDelay(true);
    upstream.setNoDelay(true);
    forward(client, upstream);
    forward(upstream, client);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    totalBytes: () => count,
    close() {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
