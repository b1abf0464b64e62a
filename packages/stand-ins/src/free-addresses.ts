/** Loopback addresses that a process of a deployment can be given before it listens on them. */
import { readFileSync } from "node:fs";
import { createServer } from "node:net";

/** Host of every address that is given. */
export const loopbackHost = "127.0.0.1";

const portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range";
/** What the system gives outgoing connections where it does not say so itself. */
const defaultFirstEphemeralPort = 32_768;
const minPort = 10_000;

/** First port that the system may give to an outgoing connection at any moment. */
export function firstEphemeralPort(): number {
  try {
    return Number(readFileSync(portRangeFile, "utf8").split(/\s+/)[0]);
  } catch {
    return defaultFirstEphemeralPort;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, loopbackHost, () => server.close(() => resolve(true)));
  });
}

/** Runs of this program at the same time begin at different ports. */
let nextPort = minPort + ((process.pid * 37) % 10_000);

/**
 * Addresses on loopback that nobody listens on. They lie below the ports of outgoing connections: one of
 * those could take the port between this look and the moment in which the process listens.
 *
 * @throws Error when no port is left
 */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const end = firstEphemeralPort();
  const addresses: string[] = [];
  for (let attempts = minPort; attempts < end && addresses.length < count; attempts++) {
    nextPort = nextPort + 1 < end ? nextPort + 1 : minPort;
    const port = nextPort;
    if (await isFree(port)) addresses.push(`${loopbackHost}:${port}`);
  }
  if (addresses.length < count) throw new Error(`no free ports from ${minPort} to ${end}`);
  return addresses;
}
