/** A client that reads a stream of events. */
import { randomBytes } from "node:crypto";
import { request as httpRequest } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

/**
 * Begins a stream. `ended` resolves with its end: the status, the id of the last event, and whether the stream is complete.
 * `leave` closes the connection.
 */
export function readStream({ front, path, deadlineMs, record, headers = {} }) {
  const requestId = randomBytes(8).toString("hex");
  const [host, port] = front.split(":");
  const request = httpRequest({
    host,
    port: Number(port),
    method: "POST",
    path,
    agent: false,
    headers: {
      Host: "feeds.example",
      "Linkfall-Request-Id": requestId,
      "Linkfall-Deadline-Ms": String(deadlineMs),
      "Content-Length": 1,
      ...headers,
    },
  });
  const ended = new Promise((resolve) => {
    let status;
    let text = "";
    const finish = (complete) => {
      clearTimeout(timer);
      const lastEventId = [...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
      const end = { status, lastEventId, complete };
      record.line(`client: stream ${requestId} at ${front}: ${JSON.stringify(end)}`);
      resolve({ requestId, ...end });
    };
    const timer = setTimeout(() => request.destroy(), deadlineMs);
    request.once("error", () => finish(false));
    request.once("response", (response) => {
      status = response.statusCode;
      response.on("data", (bytes) => (text += bytes));
      response.once("error", () => finish(false));
      response.once("end", () => finish(response.complete));
    });
    request.end("x");
  });
  return { ended, leave: () => void request.destroy() };
}
