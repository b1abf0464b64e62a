import assert from "node:assert/strict";
import { Agent, type IncomingMessage, request } from "node:http";
import { Then, When } from "@cucumber/cucumber";
import { type DeploymentProcesses, type RunningBox } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";

interface KeptCallers {
  /** Errors of requests that got no complete answer. */
  readonly problems: string[];
  answered: number;
  exitCode?: number | null;
  /** Time from the signal to the end of the box. */
  exitedAfterMs: number;
}

const beforeStopMs = 500;
/** Callers leave then, whatever the box does. */
const maxUseMs = 15_000;
const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));
const callersOf = (world: object) => scenarioState(world).get<KeptCallers>("kept callers");

/** Sends one request; resolves when the answer is complete. */
function complete(address: string, agent: Agent, prompt: string): Promise<IncomingMessage> {
  const [host, port] = address.split(":");
  const headers = { authorization: "Bearer token-of-one" };
  return new Promise((resolve, reject) => {
    const options = { host, port, agent, headers, method: "POST", path: "/v1/completions" };
    const sent = request(options, (response) => {
      response.resume();
      response.once("error", reject);
      response.once("end", () => resolve(response));
    });
    sent.once("error", reject);
    sent.end(JSON.stringify({ model: "a", prompt, max_tokens: 8 }));
  });
}

/** Sends one request after the other on a connection until the box closes it. */
async function useConnection(
  callers: KeptCallers,
  address: string,
  name: string,
  isOver: () => boolean,
): Promise<void> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let sent = 0; !isOver(); sent++) {
    try {
      const response = await complete(address, agent, `${name} ${sent}`);
      callers.answered += 1;
      if (response.headers.connection === "close") break;
    } catch (problem) {
      callers.problems.push(String(problem));
      break;
    }
  }
  agent.destroy();
}

When(
  "a box is stopped while {int} callers send one request after the other on connections that they keep",
  { timeout: 60_000 },
  async function (this: object, count: number) {
    const [box] = scenarioState(this).get<DeploymentProcesses>("deployment").boxes as RunningBox[];
    const callers: KeptCallers = { problems: [], answered: 0, exitedAfterMs: Infinity };
    scenarioState(this).set("kept callers", callers);
    let endAt = Infinity;
    const uses = Array.from({ length: count }, (_, index) =>
      useConnection(callers, box.callerAddress, `caller ${index}`, () => performance.now() > endAt),
    );
    await sleep(beforeStopMs);
    box.child.kill("SIGTERM");
    const signalledAt = performance.now();
    endAt = signalledAt + maxUseMs;
    await Promise.all(uses);
    callers.exitCode = await box.exited;
    callers.exitedAfterMs = performance.now() - signalledAt;
  },
);

Then(
  "each of their requests got a complete answer, and the box exits with 0 within {int} ms",
  function (this: object, maxMs: number) {
    const { problems, answered, exitCode, exitedAfterMs } = callersOf(this);
    assert.deepEqual(problems, [], `${answered} requests answered`);
    assert.equal(exitCode, 0);
    assert.ok(exitedAfterMs <= maxMs, `${Math.round(exitedAfterMs)} ms`);
  },
);
