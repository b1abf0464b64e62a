const octet = "(?:[01]?\\d{1,2}|2[0-4]\\d|25[0-5])";
const endpointPattern = new RegExp(`^${octet}(?:\\.${octet}){3}:\\d{1,5}$`);
const maxPort = 65_535;

/** Returns whether `text` is an IPv4 address with a non-zero port, such as `10.0.0.1:8080`. */
export function isEndpoint(text: string): boolean {
  if (!endpointPattern.test(text)) return false;
  const port = Number(text.slice(text.indexOf(":") + 1));
  return port > 0 && port <= maxPort;
}
