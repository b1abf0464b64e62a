import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { createVirtualClock, systemClock } from "@linkfall/kernel";
import type { Heartbeat, PeerHandler } from "@linkfall/ports";
import { scenarioState } from "@linkfall/test-support";
import type { MemberEntry } from "@linkfall/types";
import { createPeerClient, type PeerGrpcClient } from "./peer-client.js";
import { createPeerServer, type PeerGrpcServer } from "./peer-server.js";

const limitMs = 2_000;

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
  forward: () => Promise.reject(new Error("not asked for here")),
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
  const client = createPeerClient(systemClock(), limitMs);
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
  "{int} messages of three kinds are sent to it at once",
  async function (this: object, count: number) {
    const { client, address } = pairOf(this);
    const numbers = Array.from({ length: count / 3 }, (_, index) => index);
    const beats = numbers.map((index) => client.heartbeat(address, message(index)));
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
      offsets: (await Promise.all(beats)).map((each) => each.unsafeCoerce().summary.offset),
      accounts: (await Promise.all(usage)).map((each) => each.unsafeCoerce()[0].account),
      starts: (await Promise.all(reports)).map((each) => each.unsafeCoerce().from),
      numbers,
    });
  },
);

Then("each got the answer to itself", function (this: object) {
  const { offsets, accounts, starts, numbers } = scenarioState(this).get<{
    offsets: number[];
    accounts: string[];
    starts: string[];
    numbers: number[];
  }>("answers");
  assert.deepEqual(offsets, numbers);
  assert.deepEqual(
    accounts,
    numbers.map((index) => `a${index}`),
  );
  assert.deepEqual(
    starts,
    numbers.map((index) => `b@${index}`),
  );
});

When("it has answered, ends, and another starts at its address", async function (this: object) {
  const pair = pairOf(this);
  assert.ok((await pair.client.heartbeat(pair.address, message(1))).isRight());
  pair.server.close();
  pair.server = (await serve(pair.address)).server;
});

Then(
  "the next messages are answered within {int} tries",
  async function (this: object, most: number) {
    const { client, address } = pairOf(this);
    for (let tries = 0; tries < most; tries++) {
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

Given("a box that takes connections and says nothing", async function (this: object) {
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

When("a message to it has waited for its limit, twice", async function (this: object) {
  const { server, sockets } = scenarioState(this).get<SilentBox>("silent");
  const { port } = server.address() as { port: number };
  const clock = createVirtualClock();
  const client = createPeerClient(clock, limitMs);
  const results: boolean[] = [];
  for (let turn = 1; turn <= 2; turn++) {
    const asked = client.heartbeat(`127.0.0.1:${port}`, message(turn));
    while (sockets.length < turn) await new Promise((resolve) => setTimeout(resolve, 5));
    await clock.runUntil(clock.now() + limitMs);
    results.push((await asked).isLeft());
  }
  client.close();
  scenarioState(this).set("results", results);
});

Then(
  "each came back as unreachable, and each had a connection of its own",
  function (this: object) {
    assert.deepEqual(scenarioState(this).get("results"), [true, true]);
    assert.equal(scenarioState(this).get<SilentBox>("silent").sockets.length, 2);
  },
);
