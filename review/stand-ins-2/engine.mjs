/** A model server: streams events, drops a request when its connection closes, and obeys orders. */
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

const json = (response, status, value) => {
  const body = JSON.stringify(value);
  response.writeHead(status, { "Content-Type": "application/json", "Content-Length": body.length });
  response.end(body);
};
const readBody = (message) =>
  new Promise((resolve) => {
    let text = "";
    message.setEncoding("latin1").on("data", (part) => (text += part));
    message.on("end", () => resolve(text));
  });

/**
 * Starts a server with the id; `onRun` is called with each request that it begins and returns a function that is called when
 * its work on it has ended.
 */
export async function startEngine(host, id, { models, events, firstMs, gapMs, onRun }) {
  let seq = 0;
  let fence = 0;
  let busy = false;
  let running = 0;
  const loaded = new Set(models);

  const order = async (message, response) => {
    const body = JSON.parse(await readBody(message));
    if (body.holder === undefined || body.fence === undefined) return json(response, 400, {});
    if (body.fence < fence) return json(response, 412, {});
    fence = body.fence;
    if (busy || (body.expected !== undefined && body.expected !== seq))
      return json(response, 409, {});
    const isLoad = body.operation === "load";
    if (loaded.has(body.model) === isLoad) return json(response, 200, {});
    seq += 1;
    busy = true;
    setTimeout(() => {
      busy = false;
      if (isLoad) loaded.add(body.model);
      else loaded.delete(body.model);
    }, 400);
    json(response, 202, {});
  };
  const report = (response) =>
    json(response, 200, {
      stage: "colocated",
      models: [...loaded].map((name) => ({ name, version: 1, adapters: [] })),
      busy,
      seq,
      waiting: 0,
      running,
      kv_used: 0,
      kv_total: 250_000,
      handles: 0,
    });
  const run = async (message, response) => {
    const { headers } = message;
    await readBody(message);
    const requestId = headers["linkfall-request-id"];
    const notRun = {
      "Linkfall-Not-Run": "1",
      "Content-Length": 0,
      "Linkfall-Request-Id": requestId,
    };
    const model = (headers["linkfall-model"] ?? "").split("/")[0];
    if (!loaded.has(model)) return response.writeHead(421, notRun).end();
    running += 1;
    const onEnd = onRun({ id: requestId, server: id, headers });
    let next = Number(headers["last-event-id"] ?? 0) + 1;
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Linkfall-Request-Id": requestId,
      "Linkfall-Response-Stamp": `${id}.${requestId}`,
    });
    let timer;
    let hasEnded = false;
    const end = (why) => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      running -= 1;
      onEnd(why);
    };
    const sendNext = () => {
      response.write(`id: ${next}\ndata: token ${next}\n\n`);
      next += 1;
      if (next <= events) return void (timer = setTimeout(sendNext, gapMs));
      end("whole");
      response.end();
    };
    timer = setTimeout(sendNext, firstMs);
    // A server drops a request when its connection closes.
    response.once("close", () => end("connection closed"));
  };

  const server = createServer((message, response) => {
    const expected = message.headers["linkfall-expect-instance"];
    if (expected !== undefined && expected !== id)
      return response.writeHead(421, { "Linkfall-Not-Run": "1", "Content-Length": 0 }).end();
    if (message.url === "/v1/report") return report(response);
    if (message.url === "/v1/order") return void order(message, response);
    if (message.url === "/health")
      return response.writeHead(200, { "Linkfall-Instance-Id": id, "Content-Length": 0 }).end();
    void run(message, response);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    id,
    address: `${host}:${server.address().port}`,
    seq: () => seq,
    models: () => [...loaded].map((name) => ({ name, version: 1, adapters: [] })),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
