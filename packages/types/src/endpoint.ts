/** Where a process listens. */
const endpointPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const maxOctet = 255;
const maxPort = 65_535;

/** Whether a text is an IPv4 address and a port to which a connection can be opened: `10.0.0.1:8080`. */
export function isEndpoint(text: string): boolean {
  const found = endpointPattern.exec(text);
  if (!found) return false;
  const [port, ...parts] = found.slice(1).map(Number).reverse();
  return port > 0 && port <= maxPort && parts.every((part) => part <= maxOctet);
}
