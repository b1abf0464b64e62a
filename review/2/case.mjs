/** A faulty server gives one stream whose event never ends: a short chunk for each token, and no blank line. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, verdicts } from "../lib/case.mjs";
import { send, startClient } from "../lib/client.mjs";
import { configuration, plainService, streamService } from "../lib/configuration.mjs";
import { freeAddresses, startDeployment } from "../lib/deployment.mjs";
import { listed, startServer } from "../lib/server.mjs";

const plainIds = ["i-1", "i-2", "i-3", "i-4"];
const engineIds = ["m-1", "m-2"];
const workMs = 60;
const plainDeadlineMs = 2_000;
const streamDeadlineMs = 15_000;
/** Time after the route's timeout by which the rule wants a final answer. */
const answerSlackMs = 500;
const clientsPerBox = 10;
const settleMs = 4_000;
const runMs = 20_000;
const streamAtMs = 4_000;
/** As many requests without a final answer break the rule, if they are over a quarter of those that outlast the timeout. */
const allowedUnanswered = 7;
const allowedShare = 0.25;

const chunk = "c\r\ndata: token\n\r\n";
const block = chunk.repeat(4_000);

/** Sends the stream until its connection is closed. */
function streamWithoutEnd({ response, requestId }, record) {
  const { socket } = response;
  let sentBytes = 0;
  record.say(`server: begins the stream without end for ${requestId}`);
  socket.on("error", () => undefined);
  socket.once("close", () =>
    record.say(`server: the connection of ${requestId} was closed after ${sentBytes} B`),
  );
  const sendMore = () => {
    while (!socket.destroyed && socket.write(block)) sentBytes += block.length;
    sentBytes += block.length;
  };
  socket.on("drain", sendMore);
  const head = [
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream",
    `Linkfall-Request-Id: ${requestId}`,
    `Linkfall-Response-Stamp: stamp.${requestId}`,
    "Transfer-Encoding: chunked",
  ];
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  sendMore();
}

/** Sends the whole stream: some events, each in a chunk of its own. */
function streamEvents({ response, requestId }) {
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    "Linkfall-Request-Id": requestId,
    "Linkfall-Response-Stamp": `stamp.${requestId}`,
  });
  for (let id = 1; id <= 10; id += 1) response.write(`id: ${id}\ndata: token\n\n`);
  response.end();
}

await runCase(import.meta.url, async ({ root, record, isTroubled, closers }) => {
  const ids = [...plainIds, ...engineIds];
  const addresses = await freeAddresses("127.0.0.1", ids.length);
  const runStream = (input) => (isTroubled ? streamWithoutEnd(input, record) : streamEvents(input));
  const servers = await Promise.all(
    ids.map((id, index) => {
      const run = engineIds.includes(id) ? runStream : undefined;
      return startServer({ id, address: addresses[index], record, workMs, run });
    }),
  );
  for (const server of servers) closers.push(server.close);
  const targets = Object.fromEntries(
    servers.map(({ id, address }) => {
      const service = engineIds.includes(id) ? streamService : plainService;
      return [id, listed(service, address)];
    }),
  );
  const deployment = await startDeployment({
    root,
    record,
    configuration: configuration(plainDeadlineMs),
    targets,
  });
  closers.push(deployment.close);
  if (!(await deployment.waitUntilReady())) return verdicts.notRun;
  await sleep(settleMs);

  const ends = [];
  const until = performance.now() + runMs;
  const isRunning = () => performance.now() < until;
  const client = {
    path: "/wave-snippet/1",
    deadlineMs: plainDeadlineMs,
    record,
    isRunning,
    onEnd: (end) => void ends.push(end),
    pauseMs: 400,
  };
  const clients = deployment.boxes.flatMap(({ front }) =>
    Array.from({ length: clientsPerBox }, () => startClient({ ...client, front })),
  );
  await sleep(streamAtMs);
  const [{ front }] = deployment.boxes;
  const stream = await send({
    front,
    path: "/public-notice/1",
    deadlineMs: streamDeadlineMs,
    record,
  });
  record.say(`the stream ended after ${stream.ms} ms: ${stream.error ?? stream.status}`);
  await Promise.all(clients);

  const outlasting = ends.filter(({ ms }) => ms >= plainDeadlineMs);
  const unanswered = outlasting.filter(({ ms }) => ms > plainDeadlineMs + answerSlackMs);
  record.say(`${ends.length} requests to the plain service`);
  record.say(`not answered by their timeout: ${outlasting.length}`);
  record.say(`of these without a final answer 0.5 s after it: ${unanswered.length}`);
  const elsewhere = unanswered.filter((end) => end.front !== front);
  record.say(`of these at the boxes without that stream: ${elsewhere.length}`);
  // The machine itself is too busy to tell anything.
  if (elsewhere.length > allowedUnanswered) return verdicts.notRun;
  const isBroken =
    unanswered.length > allowedUnanswered && unanswered.length > outlasting.length * allowedShare;
  return isBroken ? verdicts.broken : verdicts.held;
});
