/**
 * One stand-in as a process: `main.js KIND ADDRESS [JSON]`. It prints `{"address": …}` when it listens,
 * and `{"violation": …}` when a promise of the system is broken.
 */
import type { HttpFront } from "@linkfall/http-front";
import { systemClock, systemRandom } from "@linkfall/kernel";
import type { Engine } from "@linkfall/types";
import { match } from "ts-pattern";
import { createBoxListCore } from "./box-list-core.js";
import { createEngineCore } from "./engine-core.js";
import { serveBoxList, serveEngine, serveLog, serveService } from "./http-stand-ins.js";
import { createLogCore } from "./log-core.js";
import { createServiceCore } from "./service-core.js";
import { standardSpeeds } from "./speeds.js";
import { createWeightStoreCore } from "./weight-store-core.js";
import { remoteWeightStore, serveWeightStore } from "./weight-store-http.js";

/** Third argument of an engine. */
export interface EngineArguments {
  readonly engine: Engine;
  readonly weightStore: string;
}

const listLagMs = 500;
const reportLagMs = 200;
const weightMbPerSecond = 20_000;
const serviceWorkMs = 20;

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

const [kind, address, json] = process.argv.slice(2);
const clock = systemClock();
const random = systemRandom();

function engineFront(): HttpFront {
  const { engine, weightStore } = JSON.parse(json) as EngineArguments;
  const core = createEngineCore({
    engine,
    clock,
    random,
    store: remoteWeightStore(clock, weightStore),
    speeds: { ...standardSpeeds, concurrency: engine.concurrency },
    reportLagMs,
    violation: (text) => print({ violation: text }),
    ran: (request) => print({ ran: request.request_id, prompt: request.prompt.slice(0, 60) }),
  });
  return serveEngine(clock, address, core);
}

const front = match(kind)
  .with("log", () => serveLog(clock, address, createLogCore(clock, random)))
  .with("list", () => serveBoxList(clock, address, createBoxListCore(clock, listLagMs)))
  .with("weights", () =>
    serveWeightStore(clock, address, createWeightStoreCore(clock, weightMbPerSecond)),
  )
  .with("engine", engineFront)
  .with("service", () =>
    serveService(
      clock,
      address,
      createServiceCore(address, clock, serviceWorkMs, (path, body) => print({ ran: path, body })),
    ),
  )
  .otherwise(() => {
    throw new Error(`unknown stand-in ${kind}`);
  });

print({ address: (await front.listen()).unsafeCoerce() });
