/** Measures messages between boxes: processor time of both sides and bytes on the wire. */
import { systemClock } from "@linkfall/kernel";
import { createMemberTable } from "@linkfall/membership";
import { createPeerClient, createPeerServer, type PeerGrpcClient } from "@linkfall/peer-grpc";
import type { PeerHandler, RelayedReport } from "@linkfall/ports";
import { jsonResponse } from "@linkfall/refusals";
import { type MemberEntry, modelArtifact } from "@linkfall/types";
import { openCountingProxy } from "./counting-proxy.js";
import {
  heapUsedBytes,
  formatKilobytes,
  cpuMicrosecondsPerCall,
  printRow,
  formatMicroseconds,
} from "./measure.js";

const messageCount = 3_000;
const suspectMs = 15_000;
const forgetMs = 60_000;

/** Measures one kind of message, sent by `send` and answered by `handler`. */
async function measureMessage(
  what: string,
  size: string,
  handler: Partial<PeerHandler>,
  send: (client: PeerGrpcClient, address: string) => Promise<unknown>,
): Promise<void> {
  const completeHandler: PeerHandler = {
    heartbeat: (message) => ({ ...message, records: [] }),
    fetchState: () => ({ offset: 0, data: "" }),
    reportUsage: () => [],
    readReports: () => ({ from: "", reports: [] }),
    forward: async () => jsonResponse({}),
    ...handler,
  };
  const server = createPeerServer(completeHandler, (problem) => {
    throw problem;
  });
  const port = (await server.listen("127.0.0.1:0")).unsafeCoerce();
  const proxy = await openCountingProxy(port);
  const client = createPeerClient(systemClock(), 5_000);
  const direct = `127.0.0.1:${port}`;
  await send(client, direct);
  await send(client, proxy.address);
  const before = proxy.totalBytes();
  const sampleCount = 100;
  for (let index = 0; index < sampleCount; index++) await send(client, proxy.address);
  const bytes = (proxy.totalBytes() - before) / sampleCount;
  const time = await cpuMicrosecondsPerCall(messageCount, () => send(client, direct));
  client.close();
  server.close();
  await proxy.close();
  printRow(`${what}, round trip (both sides, sequential)`, size, formatMicroseconds(time));
  printRow(`${what}, bytes on the wire (both directions)`, size, formatKilobytes(bytes));
}

function member(index: number, heartbeat: number): MemberEntry {
  return {
    box: `box-${index}`,
    incarnation: `box-${index}@0123456789ab`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:7071`,
    callerAddress: `10.0.${index >> 8}.${index & 255}:7070`,
    domain: `domain-${index % 9}`,
    heartbeat,
    leaving: false,
  };
}

/** Measures a heartbeat that carries `entries` of the fleet's `members` and is merged on both sides. */
export async function measureHeartbeats(members: number, entries: number): Promise<void> {
  const changes = { joined: () => undefined, gone: () => undefined };
  const before = heapUsedBytes();
  const table = createMemberTable(
    "box-x@1",
    { suspectAfterMs: suspectMs, removeAfterMs: forgetMs },
    changes,
  );
  const all = Array.from({ length: members }, (_, index) => member(index, 0));
  table.merge(all, 0);
  const heldBytes = heapUsedBytes() - before;
  let beat = 1;
  const message = () => {
    beat += 1;
    const sentEntries = Array.from({ length: entries }, (_, at) =>
      member((beat * entries + at) % members, beat),
    );
    const summary = { offset: 1, ready: true, logSilentMs: 100 };
    return { from: member(0, beat), members: sentEntries, summary };
  };
  const handler: Partial<PeerHandler> = {
    heartbeat(received) {
      table.merge(received.members, beat);
      return { ...message(), records: [] };
    },
  };
  const size = `${members} members, ${entries} entries`;
  await measureMessage("heartbeat", size, handler, async (client, address) => {
    const reply = await client.heartbeat(address, message());
    table.merge(reply.unsafeCoerce().members, beat);
  });
  printRow("memory of the member table", size, formatKilobytes(heldBytes));
}

/** Measures a usage report with the rates of `accounts` accounts. */
export async function measureUsage(accounts: number): Promise<void> {
  const rates = Array.from({ length: accounts }, (_, index) => ({
    account: `account-${index}`,
    requestsPerSecond: 1.5,
  }));
  const handler: Partial<PeerHandler> = { reportUsage: (report) => report.accounts };
  await measureMessage("usage report", `${accounts} accounts`, handler, (client, address) =>
    client.reportUsage(address, { from: "box-1@0123456789ab", demand: [], accounts: rates }),
  );
}

function createRelayedReport(index: number, residents: number): RelayedReport {
  return {
    load: {
      engine: `engine-${index}`,
      sequence: 100_000,
      running: 30,
      queued: 2,
      pendingTokens: 4_000,
      tokensPerSecond: 2_200,
      leaving: false,
    },
    ageMs: 700,
    placementVersion: 3,
    placement: {
      engineIncarnation: `engine-${index}-1-0123456789ab`,
      fence: 7_000,
      role: "mixed",
      residents: Array.from({ length: residents }, (_, at) => ({
        artifact: modelArtifact(`model-${at}`, "1"),
        accelerator: at % 8,
        sizeMb: 20_000,
        state: "ready",
      })),
      settledOrders: [],
    },
  };
}

/** Measures a read of engine reports, with and without their placements. */
export async function measureRelayedReports(engines: number, residents: number): Promise<void> {
  const fullReports = Array.from({ length: engines }, (_, index) =>
    createRelayedReport(index, residents),
  );
  const loadReports = fullReports.map((report) => ({ ...report, placement: undefined }));
  const held = fullReports.map(({ load }) => ({ engine: load.engine, placementVersion: 3 }));
  const from = "box-1@0123456789ab";
  const request = { from, pools: ["pool-1"], heldFrom: "box-2@0123456789ab", held };
  for (const [reports, what] of [
    [loadReports, "placements unchanged"],
    [fullReports, `${residents} residents per engine`],
  ] as const) {
    const handler: Partial<PeerHandler> = { readReports: () => ({ from, reports }) };
    const size = `${engines} engines, ${what}`;
    await measureMessage("read of engine reports", size, handler, (client, address) =>
      client.readReports(address, request),
    );
  }
}
