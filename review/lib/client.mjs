/** Clients: each sends one request after the other on a connection that it keeps. */
import { Buffer } from "node:buffer";
import { Agent, request as httpRequest } from "node:http";
import { connect } from "node:net";
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

/** Sends one request whose body comes in chunks of the given size, on a connection of its own. */
export function upload({ front, path, deadlineMs, record, bodyBytes, chunkBytes }) {
  const requestId = randomBytes(8).toString("hex");
  const [host, port] = front.split(":");
  const startedAt = performance.now();
  const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
  const chunksPerBlock = Math.ceil(65_536 / chunk.length);
  const block = chunk.repeat(chunksPerBlock);
  let remainingBlocks = Math.floor(bodyBytes / chunkBytes / chunksPerBlock);
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let received = "";
    let settled = false;
    const finish = (end) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      socket.destroy();
      const ms = Math.round(performance.now() - startedAt);
      record.line(`client: upload ${requestId} at ${front}: ${JSON.stringify(end)} after ${ms} ms`);
      resolve({ requestId, ms, ...end });
    };
    const timer = setTimeout(() => finish({ error: "gave up" }), deadlineMs);
    const sendBlocks = () => {
      while (remainingBlocks > 0) {
        remainingBlocks -= 1;
        if (!socket.write(block)) return;
      }
      socket.removeListener("drain", sendBlocks);
      socket.write("0\r\n\r\n");
    };
    socket.once("connect", () => {
      const head = [
        `POST ${path} HTTP/1.1`,
        "Host: feeds.example",
        `Linkfall-Request-Id: ${requestId}`,
        `Linkfall-Deadline-Ms: ${deadlineMs}`,
        "Transfer-Encoding: chunked",
      ];
      socket.write(`${head.join("\r\n")}\r\n\r\n`);
      socket.on("drain", sendBlocks);
      sendBlocks();
    });
    socket.on("data", (bytes) => {
      received += bytes.toString("latin1");
      const status = /^HTTP\/1\.1 (\d{3})[^]*\r\n\r\n/.exec(received)?.[1];
      if (status !== undefined) finish({ status: Number(status) });
    });
    socket.once("error", (problem) => finish({ error: problem.code }));
    socket.once("close", () => finish({ error: "closed" }));
  });
}
