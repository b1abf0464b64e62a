/** Clients: each sends one request after the other on a connection that it keeps. */
import { Buffer } from "node:buffer";
import { Agent, request as httpRequest } from "node:http";
import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";
import { randomBytes } from "node:crypto";

/**
 * Sends a request and resolves with its end: `status`, `body` and `complete`, or `error` if the connection ended without a
 * complete answer. `onKept` tells whether its connection had been used before.
 */
export function send({ front, path, headers = {}, body = "x", agent, deadlineMs, record, id }) {
  const requestId = id ?? randomBytes(8).toString("hex");
  const [host, port] = front.split(":");
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let kept = false;
    let settled = false;
    const finish = (end) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      const ms = Math.round(performance.now() - startedAt);
      const what = end.error ? `no answer: ${end.error}` : `${end.status} complete`;
      record.line(`client: ${requestId} at ${front}: ${what} after ${ms} ms`);
      resolve({ requestId, front, kept, startedAt, ms, ...end });
    };
    const request = httpRequest({
      host,
      port: Number(port),
      method: "POST",
      path,
      agent,
      headers: {
        Host: "feeds.example",
        "Linkfall-Request-Id": requestId,
        "Linkfall-Deadline-Ms": String(deadlineMs),
        "Content-Length": Buffer.byteLength(body),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      finish({ error: "gave up", gaveUp: true });
      request.destroy();
    }, deadlineMs + 2_000);
    request.once("socket", () => (kept = request.reusedSocket));
    request.once("error", (problem) => finish({ error: problem.code ?? problem.message }));
    request.once("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.once("error", (problem) =>
        finish({ error: problem.code, status: response.statusCode }),
      );
      response.once("end", () => {
        if (!response.complete) return finish({ error: "cut", status: response.statusCode });
        const text = Buffer.concat(chunks).toString();
        finish({ status: response.statusCode, headers: response.headers, body: text });
      });
    });
    request.end(body);
  });
}

/** Starts a client that sends requests one after the other until `stop` is called. */
export function startClient({ onEnd, isRunning, pauseMs = 0, ...input }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const loop = async () => {
    while (isRunning()) {
      onEnd(await send({ ...input, agent }));
      if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    agent.destroy();
  };
  return loop();
}
