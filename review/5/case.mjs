/** All boxes are killed at once while streams of two software versions are open; clients take their streams up again. */
import { setTimeout as wait } from "node:timers";
import { setTimeout as sleep } from "node:timers/promises";
import { runCase, verdicts } from "../lib/case.mjs";
import { configuration, streamService } from "../lib/configuration.mjs";
import { freeAddresses, startDeployment } from "../lib/deployment.mjs";
import { listed, startServer } from "../lib/server.mjs";
import { readStream } from "../lib/stream-client.mjs";

const versions = { "m-1": "v1.1", "m-2": "v1.1", "m-3": "v1.2", "m-4": "v1.2" };
const eventCount = 40;
const eventGapMs = 250;
const streamCount = 24;
const settleMs = 5_000;
/** Streams are lost this long after they have begun. */
const lostAfterMs = 2_000;
/** `contact_ms` is 3 s; the boxes are back after 1 s, and ready a little later. */
const returnAfterMs = 6_000;
const deadlineMs = 15_000;
/** As few streams that are taken up again are judged. */
const minTakenUp = 12;

/** Sends the events after the one that the client names. */
function streamEvents({ message, response, requestId }) {
  let next = Number(message.headers["last-event-id"] ?? 0) + 1;
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    "Linkfall-Request-Id": requestId,
    "Linkfall-Response-Stamp": `stamp.${requestId}`,
  });
  const sendNext = () => {
    if (response.destroyed) return;
    if (next > eventCount) return void response.end();
    response.write(`id: ${next}\ndata: token ${next}\n\n`);
    next += 1;
    wait(sendNext, eventGapMs);
  };
  sendNext();
}

await runCase(import.meta.url, async ({ root, record, isTroubled, closers }) => {
  const ids = Object.keys(versions);
  const addresses = await freeAddresses("127.0.0.1", ids.length);
  const servers = await Promise.all(
    ids.map((id, index) =>
      startServer({ id, address: addresses[index], record, run: streamEvents }),
    ),
  );
  for (const server of servers) closers.push(server.close);
  const targets = Object.fromEntries(
    servers.map(({ id, address }) => {
      const details = { version: versions[id], slots: 64 };
      return [id, listed(streamService, address, details)];
    }),
  );
  const deployment = await startDeployment({
    root,
    record,
    configuration: configuration(),
    targets,
  });
  closers.push(deployment.close);
  const { boxes } = deployment;
  if (!(await deployment.waitUntilReady())) return verdicts.notRun;
  await sleep(settleMs);

  const path = "/quake-bulletin/1";
  const frontOf = (index) => boxes[index % boxes.length].front;
  const begin = (index) => readStream({ front: frontOf(index), path, deadlineMs, record });
  const open = Array.from({ length: streamCount }, (_, index) => begin(index));
  await sleep(lostAfterMs);
  if (isTroubled) {
    record.say("all boxes are killed");
    for (const { child } of boxes) child.kill("SIGKILL");
  } else for (const stream of open) stream.leave();
  const lost = (await Promise.all(open.map(({ ended }) => ended))).filter(
    ({ lastEventId, complete }) => lastEventId !== undefined && !complete,
  );
  await sleep(returnAfterMs);
  if (!(await deployment.waitUntilReady())) return verdicts.notRun;

  const takenUp = lost.map(({ requestId, lastEventId }, index) =>
    readStream({
      front: frontOf(index + 1),
      path,
      deadlineMs: deadlineMs - returnAfterMs,
      record,
      headers: { "Last-Event-Id": lastEventId, Resumes: requestId },
    }),
  );
  const fresh = Array.from({ length: streamCount }, (_, index) => begin(index));
  const settled = async (streams) => Promise.all(streams.map(({ ended }) => ended));
  const hasBegun = ({ lastEventId }) => lastEventId !== undefined;
  const takenUpEnds = await settled(takenUp);
  const freshEnds = await settled(fresh);
  const goneOn = takenUpEnds.filter(hasBegun).length;
  const begun = freshEnds.filter(hasBegun).length;
  const statuses = takenUpEnds.map(({ status }) => status ?? "none");
  record.say(`streams lost: ${lost.length}; taken up again: ${takenUp.length}, gone on: ${goneOn}`);
  record.say(`statuses of those that were taken up: ${[...new Set(statuses)].join(", ")}`);
  record.say(`new streams at that time: ${fresh.length}, begun: ${begun}`);
  if (takenUp.length < minTakenUp || begun === 0) return verdicts.notRun;
  const isBroken = goneOn / takenUp.length < begun / fresh.length / 2;
  return isBroken ? verdicts.broken : verdicts.held;
});
