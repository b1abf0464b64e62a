/** A stand-in for a model engine: memory, batch, fence and a report that lags. */
import type { Clock, Random } from "@linkfall/kernel";
import type { BodyPart, CacheEventBatch, TargetResponse } from "@linkfall/ports";
import type {
  Engine,
  EngineReport,
  Epoch,
  Milliseconds,
  Order,
  OrderReply,
  Resident,
} from "@linkfall/types";
import { type BatchSpeeds, createEngineBatch, type EngineRequest } from "./engine-batch.js";
import { createEngineMemory } from "./engine-memory.js";
import type { WeightStoreCore } from "./weight-store-core.js";

/** What an engine stand-in is made of. */
export interface EngineCoreInput {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Pick<WeightStoreCore, "load">;
  readonly speeds: BatchSpeeds;
  readonly reportLagMs: Milliseconds;
  violation(text: string): void;
  /** Called when a request is started, for counting runs. */
  ran(request: EngineRequest): void;
  /** Called with each order that is not refused. */
  takes?(order: Order): void;
  /** Called when an artifact is about to go by order. */
  unloads?(artifact: string): void;
}

export interface EngineCore {
  readonly engine: Engine;
  /** Whether new requests may come; set when the target is leaving. */
  leaving: boolean;
  report(): EngineReport;
  /** What is in memory now, without the report's lag. */
  residents(): readonly Resident[];
  raiseFence(epoch: Epoch): EngineReport;
  order(order: Order): OrderReply;
  complete(attempt: string, request: EngineRequest): TargetResponse;
  resume(attempt: string, from: number): TargetResponse;
  cancel(attempt: string): void;
  cacheEvents(after: number): CacheEventBatch;
  /** The process dies and starts again with empty memory. */
  restart(): void;
}

const notFound = 404;

function plain(status: number, notStarted: boolean): TargetResponse {
  async function* noBody(): AsyncGenerator<BodyPart> {}
  const headers: Record<string, string> = notStarted ? { "x-not-started": "true" } : {};
  return { status, headers, body: noBody() };
}

/** Creates an engine that has just started. */
export function createEngineCore(input: EngineCoreInput): EngineCore {
  const { engine, clock, random } = input;
  const starts = { count: 0 };

  const begin = () => {
    starts.count += 1;
    const incarnation = `${engine.name}-${starts.count}-${random.identifier()}`;
    const history: { readonly at: Milliseconds; readonly report: EngineReport }[] = [];
    let sequence = 0;
    let fence: Epoch = 0;
    const note = () => {
      const report = now();
      history.push({ at: clock.now(), report });
      const due = clock.now() - input.reportLagMs;
      while (history.length > 1 && history[1].at <= due) history.shift();
    };
    const batch = createEngineBatch(clock, input.speeds, () => {
      memory.releaseIdle();
      note();
    });
    const memory = createEngineMemory(engine, input.store, {
      busy: batch.busy,
      changed: () => note(),
      violation: input.violation,
      unloads: (artifact) => input.unloads?.(artifact),
    });
    const now = (): EngineReport => ({
      engine: engine.name,
      engineIncarnation: incarnation,
      sequence: ++sequence,
      fence,
      role: memory.role,
      residents: memory.residents,
      running: batch.running(),
      queued: batch.queued(),
      pendingTokens: batch.pendingTokens(),
      tokensPerSecond: batch.tokensPerSecond(),
      leaving: core.leaving,
      settledOrders: memory.settledOrders,
    });
    note();
    return {
      incarnation,
      batch,
      memory,
      lagged(): EngineReport {
        const due = clock.now() - input.reportLagMs;
        const { report } = history.filter((entry) => entry.at <= due).at(-1) ?? history[0];
        // A fence and the leaving flag are no load figures; they are shown as they stand.
        return { ...report, fence, leaving: core.leaving };
      },
      fence: () => fence,
      raise(epoch: Epoch): EngineReport {
        fence = Math.max(fence, epoch);
        note();
        return history[history.length - 1].report;
      },
    };
  };

  let life: ReturnType<typeof begin>;

  const holds = (artifact: string, accelerator?: number) =>
    life.memory.residents.find(
      (resident) =>
        resident.artifact === artifact &&
        resident.state === "ready" &&
        (accelerator === undefined || resident.accelerator === accelerator),
    );

  const streamOf = (attempt: string, body: AsyncIterable<BodyPart>): TargetResponse => ({
    status: 200,
    headers: { "content-type": "text/event-stream", "x-attempt-id": attempt },
    body,
  });

  const core: EngineCore = {
    engine,
    leaving: false,
    report: () => life.lagged(),
    residents: () => life.memory.residents,
    raiseFence(epoch) {
      return life.raise(engine.fenced ? epoch : 0);
    },
    order(order) {
      if (engine.fenced && order.epoch < life.fence()) {
        return { kind: "stale_epoch", fence: life.fence() };
      }
      if (order.engineIncarnation !== life.incarnation) {
        return life.memory.refuse(order, "for another start of this engine");
      }
      input.takes?.(order);
      return life.memory.order(order);
    },
    complete(attempt, request) {
      const model = holds(request.model);
      const adapter = request.adapter === undefined || holds(request.adapter, model?.accelerator);
      if (!model || !adapter) return plain(notFound, true);
      input.ran(request);
      life.batch.start(attempt, request, model.accelerator);
      const from = request.continue_from?.position ?? 0;
      const body = life.batch.read(attempt, from);
      return body ? streamOf(attempt, body) : plain(notFound, true);
    },
    resume(attempt, from) {
      const body = life.batch.read(attempt, from);
      return body ? streamOf(attempt, body) : plain(notFound, false);
    },
    cancel: (attempt) => life.batch.cancel(attempt),
    cacheEvents: (after) => ({
      engineIncarnation: life.incarnation,
      events: life.batch.cacheEvents(after),
    }),
    restart() {
      life.batch.destroy();
      life.memory.destroy();
      life = begin();
    },
  };
  life = begin();
  return core;
}
