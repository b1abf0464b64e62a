/** Stand-in for a server of a plain service or a streaming one: runs requests and answers as the pages say. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout } from "node:timers";

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/**
 * Starts a server. `run` answers a request that has begun to run; by default the server works for `workMs` and answers.
 * `spoil` may take over an answer by returning true, as a faulty server does.
 */
export async function startServer({ id, address, record, workMs = 50, run, spoil, onRun }) {
  const stats = { requests: 0, runs: [] };
  const answer = (response, requestId) => {
    const body = JSON.stringify({ server: id, request: requestId });
    response.writeHead(200, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
      "Linkfall-Request-Id": requestId,
      "Linkfall-Response-Stamp": `stamp.${id}.${requestId}`,
    });
    response.end(body);
  };
  const server = createServer(async (message, response) => {
    if (message.url === "/health") {
      response.writeHead(200, { "Linkfall-Instance-Id": id });
      return response.end();
    }
    const body = await readBody(message).catch(() => undefined);
    if (body === undefined) return record.line(`server ${id}: a request broke off inside its body`);
    const requestId = message.headers["linkfall-request-id"];
    if (message.headers["linkfall-expect-instance"] !== id) {
      response.writeHead(421, { "Linkfall-Not-Run": "1" });
      return response.end();
    }
    stats.requests += 1;
    stats.runs.push(requestId);
    record.line(
      `server ${id}: runs ${requestId} ${message.method} ${message.url} (${body.length} B)`,
    );
    onRun?.(requestId);
    response.on("error", () => undefined);
    response.once("close", () => {
      if (!response.writableFinished)
        record.line(`server ${id}: connection of ${requestId} closed`);
    });
    if (run) return run({ message, response, requestId });
    setTimeout(
      () => {
        if (response.destroyed) return;
        if (spoil?.({ response, requestId, stats })) return;
        record.line(`server ${id}: answers ${requestId}`);
        answer(response, requestId);
      },
      workMs * (0.5 + Math.random()),
    );
  });
  server.keepAliveTimeout = 10_000;
  const [host, port] = address.split(":");
  await new Promise((resolve) => server.listen(Number(port), host, resolve));
  return {
    id,
    address,
    stats,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Entry of a server in the platform's list. */
export function listed(service, address, overrides = {}) {
  const fields = { zone: "garching", version: "1.0", slots: 16, state: "ready" };
  return { service, address, ...fields, cold_remaining_ms: 0, seq: 1, ...overrides };
}
