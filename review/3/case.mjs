/** A faulty server gives single answers that are none of its service: a page of a default web server, with status 200. */
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, verdicts } from "../lib/case.mjs";
import { startClient } from "../lib/client.mjs";
import { configuration, plainService } from "../lib/configuration.mjs";
import { freeAddresses, startDeployment } from "../lib/deployment.mjs";
import { listed, startServer } from "../lib/server.mjs";

const serverIds = ["i-1", "i-2", "i-3", "i-4"];
const faultyId = "i-4";
/** Share of the answers that the pages let a faulty server spoil; the case stays at half of it. */
const spoiledShare = 0.02;
const workMs = 80;
const deadlineMs = 1_000;
const clientsPerBox = 10;
const settleMs = 4_000;
const runMs = 8_000;
const page = "<html><body><h1>It works!</h1></body></html>\n";
const foreignAnswer = [
  "HTTP/1.1 200 OK",
  "Content-Type: text/html",
  `Content-Length: ${page.length}`,
  "Connection: close",
  "",
  page,
].join("\r\n");

await runCase(import.meta.url, async ({ root, record, isTroubled, closers }) => {
  const spoiled = new Set();
  const spoil = ({ response, requestId, stats }) => {
    const isWithinShare = spoiled.size + 1 <= (stats.requests * spoiledShare) / 2;
    if (!isTroubled || !isWithinShare) return false;
    spoiled.add(requestId);
    record.line(`server ${faultyId}: answers ${requestId} with a foreign page`);
    response.socket.end(foreignAnswer);
    return true;
  };
  const addresses = await freeAddresses("127.0.0.1", serverIds.length);
  const servers = await Promise.all(
    serverIds.map((id, index) => {
      const address = addresses[index];
      return startServer({
        id,
        address,
        record,
        workMs,
        spoil: id === faultyId ? spoil : undefined,
      });
    }),
  );
  for (const server of servers) closers.push(server.close);
  const targets = Object.fromEntries(
    servers.map(({ id, address }) => [id, listed(plainService, address)]),
  );
  const deployment = await startDeployment({
    root,
    record,
    configuration: configuration(),
    targets,
  });
  closers.push(deployment.close);
  if (!(await deployment.waitUntilReady())) return verdicts.notRun;
  await sleep(settleMs);

  const ends = [];
  const until = performance.now() + runMs;
  const isRunning = () => performance.now() < until;
  const onEnd = (end) => void ends.push(end);
  const client = { deadlineMs, record, isRunning, onEnd, pauseMs: 20 };
  await Promise.all(
    deployment.boxes.flatMap(({ front }) =>
      Array.from({ length: clientsPerBox }, (_, index) => {
        const path = index % 2 === 0 ? "/wave-snippet/1" : "/station-status/1";
        return startClient({ ...client, front, path });
      }),
    ),
  );

  const successes = ends.filter(({ status, error }) => !error && status >= 200 && status < 300);
  const unsigned = successes.filter(
    ({ headers }) => headers["linkfall-response-stamp"] === undefined,
  );
  for (const { requestId, body } of unsigned)
    record.line(`client: ${requestId} got a success without a signature: ${body.trim()}`);
  record.say(`${ends.length} requests, ${successes.length} successes`);
  record.say(`foreign answers: ${spoiled.size}; successes without a signature: ${unsigned.length}`);
  if (isTroubled && spoiled.size === 0) return verdicts.notRun;
  return unsigned.length > 0 ? verdicts.broken : verdicts.held;
});
