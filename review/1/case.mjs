/** A faulty server gives single answers whose status line names the status 000. */
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
const maxSpoiled = 3;
const spoilGapMs = 3_000;
const workMs = 200;
const deadlineMs = 1_000;
const clientsPerBox = 20;
const settleMs = 4_000;
const runMs = 15_000;
/** More requests that are cut than this break the rule. */
const allowedCuts = 3;

await runCase(import.meta.url, async ({ root, record, isTroubled, closers }) => {
  let spoiled = 0;
  let spoiledAt = -Infinity;
  const spoil = ({ response, requestId, stats }) => {
    const isDue = spoiled < maxSpoiled && performance.now() - spoiledAt >= spoilGapMs;
    const isWithinShare = spoiled + 1 <= (stats.requests * spoiledShare) / 2;
    if (!isTroubled || !isDue || !isWithinShare) return false;
    spoiled += 1;
    spoiledAt = performance.now();
    record.say(`server ${faultyId}: spoils its answer to ${requestId}, of ${stats.requests}`);
    response.socket.end("HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n");
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
  const client = { path: "/wave-snippet/1", deadlineMs, record, isRunning, onEnd, pauseMs: 20 };
  await Promise.all(
    deployment.boxes.flatMap(({ front }) =>
      Array.from({ length: clientsPerBox }, () => startClient({ ...client, front })),
    ),
  );

  const sound = servers.filter(({ id }) => id !== faultyId);
  const ranAtSound = new Set(sound.flatMap(({ stats }) => stats.runs));
  const cut = ends.filter(
    ({ error, gaveUp, kept, requestId }) => error && !gaveUp && kept && ranAtSound.has(requestId),
  );
  const served = ends.filter(({ status }) => status === 200).length;
  const processEnds = deployment.boxes.reduce((sum, box) => sum + box.ends.length, 0);
  record.say(`${ends.length} requests, ${served} answered with 200`);
  record.say(`spoiled answers: ${spoiled}; processes of boxes that ended: ${processEnds}`);
  record.say(`sound server ran it, kept connection closed without an answer: ${cut.length}`);
  if (isTroubled && spoiled === 0) return verdicts.notRun;
  return cut.length > allowedCuts ? verdicts.broken : verdicts.held;
});
