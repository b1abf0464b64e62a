import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, systemClock } from "@linkfall/kernel";
import type { Heartbeat, PeerHandler } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import type { MemberEntry } from "@linkfall/types";
import { createPeerClient, type PeerGrpcClient } from "./peer-client.js";
import { createPeerServer, type PeerGrpcServer } from "./peer-server.js";

const timeoutMs = 2_000;

const member: MemberEntry = {
  box: "b",
  incarnation: "b@1",
  peerAddress: "127.0.0.1:1",
  callerAddress: "127.0.0.1:2",
  domain: "north",
  heartbeat: 1,
  leaving: false,
};
const message = (offset: number): Heartbeat => ({
  from: member,
  members: [],
  summary: { offset, ready: true, logSilentMs: 0 },
});

const handler: PeerHandler = {
  heartbeat: (received) => ({ ...received, records: [] }),
  fetchState: () => ({ offset: 0, data: "" }),
  reportUsage: (report) => report.accounts,
  readReports: (request) => ({ from: request.from, reports: [] }),
  forward: () => Promise.reject(new Error("forwarding is not used in this test")),
};

interface Pair {
  server: PeerGrpcServer;
  readonly client: PeerGrpcClient;
  readonly address: string;
}
const pairOf = (world: object) => scenarioState(world).get<Pair>("pair");

async function serve(address: string): Promise<{ server: PeerGrpcServer; port: number }> {
  const server = createPeerServer(handler, (problem) => {
    throw problem;
  });
  return { server, port: (await server.listen(address)).unsafeCoerce() };
}

Given("a box that answers its peers", async function (this: object) {
  const { server, port } = await serve("127.0.0.1:0");
  const client = createPeerClient(systemClock(), timeoutMs);
  scenarioState(this).set("pair", { server, client, address: `127.0.0.1:${port}` });
});

After({ name: "peer-grpc" }, function (this: object) {
  let pair: Pair;
  try {
    pair = pairOf(this);
  } catch {
    return;
  }
  pair.client.close();
  pair.server.close();
});

When(
  "{int} messages of three kinds are sent to it concurrently",
  async function (this: object, count: number) {
    const { client, address } = pairOf(this);
    const numbers = Array.from({ length: count / 3 }, (_, index) => index);
    const heartbeats = numbers.map((index) => client.heartbeat(address, message(index)));
    const usage = numbers.map((index) =>
      client.reportUsage(address, {
        from: "b@1",
        demand: [],
        accounts: [{ account: `a${index}`, requestsPerSecond: 1 }],
      }),
    );
    const reports = numbers.map((index) =>
      client.readReports(address, { from: `b@${index}`, pools: [], heldFrom: "", held: [] }),
    );
    scenarioState(this).set("answers", {
      offsets: (await Promise.all(heartbeats)).map(
        (answer) => answer.unsafeCoerce().summary.offset,
      ),
      accounts: (await Promise.all(usage)).map((answer) => answer.unsafeCoerce()[0].account),
      incarnations: (await Promise.all(reports)).map((answer) => answer.unsafeCoerce().from),
      numbers,
    });
  },
);

Then("each message receives its own answer", function (this: object) {
  const { offsets, accounts, incarnations, numbers } = scenarioState(this).get<{
    offsets: number[];
    accounts: string[];
    incarnations: string[];
    numbers: number[];
  }>("answers");
  assert.deepEqual(offsets, numbers);
  assert.deepEqual(
    accounts,
    numbers.map((index) => `a${index}`),
  );
  assert.deepEqual(
    incarnations,
    numbers.map((index) => `b@${index}`),
  );
});

When(
  "it has answered and is replaced by another box at the same address",
  async function (this: object) {
    const pair = pairOf(this);
    assert.ok((await pair.client.heartbeat(pair.address, message(1))).isRight());
    pair.server.close();
    pair.server = (await serve(pair.address)).server;
  },
);

Then(
  "a message is answered within {int} attempts",
  async function (this: object, maxAttempts: number) {
    const { client, address } = pairOf(this);
    for (let attempts = 0; attempts < maxAttempts; attempts++) {
      if ((await client.heartbeat(address, message(2))).isRight()) return;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    assert.fail("no answer");
  },
);

interface SilentBox {
  readonly server: Server;
  readonly sockets: Socket[];
}

Given("a box that accepts connections but never answers", async function (this: object) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => void sockets.push(socket.on("error", () => undefined)));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  scenarioState(this).set("silent", { server, sockets });
});

After({ name: "peer-grpc, silent box" }, async function (this: object) {
  let silent: SilentBox;
  try {
    silent = scenarioState(this).get<SilentBox>("silent");
  } catch {
    return;
  }
  for (const socket of silent.sockets) socket.destroy();
  await new Promise((resolve) => silent.server.close(resolve));
});

When("two messages to it time out one after the other", async function (this: object) {
  const { server, sockets } = scenarioState(this).get<SilentBox>("silent");
  const { port } = server.address() as { port: number };
  const clock = createVirtualClock();
  const client = createPeerClient(clock, timeoutMs);
  const results: boolean[] = [];
  for (let attempt = 1; attempt <= 2; attempt++) {
    const pending = client.heartbeat(`127.0.0.1:${port}`, message(attempt));
    while (sockets.length < attempt) await new Promise((resolve) => setTimeout(resolve, 5));
    await clock.runUntil(clock.now() + timeoutMs);
    results.push((await pending).isLeft());
  }
  client.close();
  scenarioState(this).set("results", results);
});

Then("both fail as unreachable, and each used a connection of its own", function (this: object) {
  assert.deepEqual(scenarioState(this).get("results"), [true, true]);
  assert.equal(scenarioState(this).get<SilentBox>("silent").sockets.length, 2);
});
