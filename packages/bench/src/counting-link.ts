/** A link on loopback that counts what passes through it, in both directions. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export interface CountingLink {
  readonly address: string;
  /** Bytes that have passed so far. */
  bytes(): number;
  close(): Promise<void>;
}

/** Opens a link to a port on loopback. */
export async function openCountingLink(port: number): Promise<CountingLink> {
  let count = 0;
  const sockets = new Set<Socket>();
  const pass = (from: Socket, to: Socket) => {
    sockets.add(from);
    from.on("data", (chunk) => {
      count += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => to.destroy());
    from.on("close", () => to.destroy());
  };
  const server = createServer((near) => {
    const far = connect(port, "127.0.0.1");
    near.setNoDelay(true);
    far.setNoDelay(true);
    pass(near, far);
    pass(far, near);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    bytes: () => count,
    close() {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
