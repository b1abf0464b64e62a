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
import { type BatchOptions, createEngineBatch, type EngineRequest } from "./engine-batch.js";
import { createEngineMemory } from "./engine-memory.js";
import type { WeightStoreCore } from "./weight-store-core.js";

/** What an engine stand-in is made of. */
export interface EngineCoreOptions {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Pick<WeightStoreCore, "load">;
  readonly batchOptions: BatchOptions;
  readonly reportLagMs: Milliseconds;
  onViolation(text: string): void;
  /** Called when a request is started, for counting runs. */
  onRequestStarted(request: EngineRequest): void;
  /** Called with each order that is not refused. */
  onOrder?(order: Order): void;
  /** Called when an artifact is about to go by order. */
  onUnload?(artifact: string): void;
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

function emptyResponse(status: number, notStarted: boolean): TargetResponse {
  async function* noBody(): AsyncGenerator<BodyPart> {}
  const headers: Record<string, string> = notStarted ? { "x-not-started": "true" } : {};
  return { status, headers, body: noBody() };
}

/** Creates an engine that has just started. */
export function createEngineCore(options: EngineCoreOptions): EngineCore {
  const { engine, clock, random } = options;
  const restartCounter = { count: 0 };

  const startIncarnation = () => {
    restartCounter.count += 1;
    const incarnation = `${engine.name}-${restartCounter.count}-${random.identifier()}`;
    const history: { readonly at: Milliseconds; readonly report: EngineReport }[] = [];
    let sequence = 0;
    let fence: Epoch = 0;
    const recordReport = () => {
      const report = now();
      history.push({ at: clock.now(), report });
      const newestVisibleAt = clock.now() - options.reportLagMs;
      while (history.length > 1 && history[1].at <= newestVisibleAt) history.shift();
    };
    const batch = createEngineBatch(clock, options.batchOptions, () => {
      memory.releaseIdle();
      recordReport();
    });
    const memory = createEngineMemory(engine, options.store, {
      isBusy: batch.isBusy,
      onChange: () => recordReport(),
      onViolation: options.onViolation,
      onUnload: (artifact) => options.onUnload?.(artifact),
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
    recordReport();
    return {
      incarnation,
      batch,
      memory,
      delayedReport(): EngineReport {
        const newestVisibleAt = clock.now() - options.reportLagMs;
        const { report } =
          history.filter((entry) => entry.at <= newestVisibleAt).at(-1) ?? history[0];
        // A fence and the leaving flag are no load figures; they are shown as they stand.
        return { ...report, fence, leaving: core.leaving };
      },
      fence: () => fence,
      raiseFence(epoch: Epoch): EngineReport {
        fence = Math.max(fence, epoch);
        recordReport();
        return history[history.length - 1].report;
      },
    };
  };

  let current: ReturnType<typeof startIncarnation>;

  const findReady = (artifact: string, accelerator?: number) =>
    current.memory.residents.find(
      (resident) =>
        resident.artifact === artifact &&
        resident.state === "ready" &&
        (accelerator === undefined || resident.accelerator === accelerator),
    );

  const streamResponse = (attempt: string, body: AsyncIterable<BodyPart>): TargetResponse => ({
    status: 200,
    headers: { "content-type": "text/event-stream", "x-attempt-id": attempt },
    body,
  });

  const core: EngineCore = {
    engine,
    leaving: false,
    report: () => current.delayedReport(),
    residents: () => current.memory.residents,
    raiseFence(epoch) {
      return current.raiseFence(engine.fenced ? epoch : 0);
    },
    order(order) {
      if (engine.fenced && order.epoch < current.fence()) {
        return { kind: "stale_epoch", fence: current.fence() };
      }
      if (order.engineIncarnation !== current.incarnation) {
        return current.memory.refuse(order, "for another start of this engine");
      }
      options.onOrder?.(order);
      return current.memory.order(order);
    },
    complete(attempt, request) {
      const model = findReady(request.model);
      const adapter =
        request.adapter === undefined || findReady(request.adapter, model?.accelerator);
      if (!model || !adapter) return emptyResponse(notFound, true);
      options.onRequestStarted(request);
      current.batch.start(attempt, request, model.accelerator);
      const from = request.continue_from?.position ?? 0;
      const body = current.batch.readStream(attempt, from);
      return body ? streamResponse(attempt, body) : emptyResponse(notFound, true);
    },
    resume(attempt, from) {
      const body = current.batch.readStream(attempt, from);
      return body ? streamResponse(attempt, body) : emptyResponse(notFound, false);
    },
    cancel: (attempt) => current.batch.cancel(attempt),
    cacheEvents: (after) => ({
      engineIncarnation: current.incarnation,
      events: current.batch.cacheEvents(after),
    }),
    restart() {
      current.batch.destroy();
      current.memory.destroy();
      current = startIncarnation();
    },
  };
  current = startIncarnation();
  return core;
}
