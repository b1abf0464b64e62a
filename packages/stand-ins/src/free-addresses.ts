/** Allocates loopback addresses for processes that listen on them later. */
import { readFileSync } from "node:fs";
import { createServer } from "node:net";

/** Host of every allocated address. */
export const loopbackHost = "127.0.0.1";

const portRangeFile = "/proc/sys/net/ipv4/ip_local_port_range";
/** Default start of the ephemeral port range on Linux. */
const defaultFirstEphemeralPort = 32_768;
const minPort = 10_000;

/** Returns the first port of the system's ephemeral range, which is used for outgoing connections. */
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

/** Derived from the process id to keep concurrent test runs from choosing the same ports. */
let nextPort = minPort + ((process.pid * 37) % 10_000);

/**
 * Returns unused loopback addresses below the ephemeral port range. An outgoing connection could otherwise
 * occupy the port before the process listens on it.
 *
 * @throws Error if too few ports are free
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
