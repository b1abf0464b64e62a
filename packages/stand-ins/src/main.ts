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
import { defaultBatchOptions } from "./default-batch-options.js";
import { createWeightStoreCore } from "./weight-store-core.js";
import { createRemoteWeightStore, serveWeightStore } from "./weight-store-http.js";

/** Third argument of an engine. */
export interface EngineArguments {
  readonly engine: Engine;
  readonly weightStore: string;
}

const boxListLagMs = 500;
const reportLagMs = 200;
const weightMbPerSecond = 20_000;
const serviceCallMs = 20;

function printLine(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}

const [kind, address, json] = process.argv.slice(2);
const clock = systemClock();
const random = systemRandom();

function createEngineFront(): HttpFront {
  const { engine, weightStore } = JSON.parse(json) as EngineArguments;
  const core = createEngineCore({
    engine,
    clock,
    random,
    store: createRemoteWeightStore(clock, weightStore),
    batchOptions: { ...defaultBatchOptions, concurrency: engine.concurrency },
    reportLagMs,
    onViolation: (text) => printLine({ violation: text }),
    onRequestStarted: (request) =>
      printLine({ ran: request.request_id, prompt: request.prompt.slice(0, 60) }),
  });
  return serveEngine(clock, address, core);
}

const front = match(kind)
  .with("log", () => serveLog(clock, address, createLogCore(clock, random)))
  .with("list", () => serveBoxList(clock, address, createBoxListCore(clock, boxListLagMs)))
  .with("weights", () =>
    serveWeightStore(clock, address, createWeightStoreCore(clock, weightMbPerSecond)),
  )
  .with("engine", createEngineFront)
  .with("service", () =>
    serveService(
      clock,
      address,
      createServiceCore(address, clock, serviceCallMs, (path, body) =>
        printLine({ ran: path, body }),
      ),
    ),
  )
  .otherwise(() => {
    throw new Error(`unknown stand-in ${kind}`);
  });

printLine({ address: (await front.listen()).unsafeCoerce() });
