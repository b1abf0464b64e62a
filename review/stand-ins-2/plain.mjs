/** A server of a plain service: it answers each request that names it, or nobody, at once. */
import { createServer } from "node:http";

const body = "served";

export async function startPlain(host, id) {
  const server = createServer((message, response) => {
    message.resume();
    const { "linkfall-expect-instance": expected, "linkfall-request-id": requestId } =
      message.headers;
    if (expected !== undefined && expected !== id)
      return response.writeHead(421, { "Linkfall-Not-Run": "1", "Content-Length": 0 }).end();
    if (message.url === "/health")
      return response.writeHead(200, { "Linkfall-Instance-Id": id, "Content-Length": 0 }).end();
    response.writeHead(200, {
      "Linkfall-Request-Id": requestId,
      "Linkfall-Response-Stamp": `${id}.${requestId}`,
      "Content-Length": body.length,
    });
    response.end(body);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
