/** Test double for a model engine: memory, batch, fence and delayed load reports. */
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

/** Dependencies and settings of a simulated engine. */
export interface EngineCoreOptions {
  readonly engine: Engine;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Pick<WeightStoreCore, "load">;
  readonly batchOptions: BatchOptions;
  /** Delay before load figures show up in reports. */
  readonly reportLagMs: Milliseconds;
  /** Called when an invariant of the system is violated. */
  onViolation(text: string): void;
  /** Called when a request is started. */
  onRequestStarted(request: EngineRequest): void;
  /** Called with each order whose epoch and incarnation are accepted. */
  onOrder?(order: Order): void;
  /** Called before an order unloads an artifact that is ready. */
  onUnload?(artifact: string): void;
}

/** A simulated engine, independent of the transport. */
export interface EngineCore {
  readonly engine: Engine;
  /** Set while the engine is being drained; reported to the boxes. */
  leaving: boolean;
  /** The report as a box receives it, with delayed load figures. */
  report(): EngineReport;
  /** Current contents of the memory, without the delay of reports. */
  residents(): readonly Resident[];
  raiseFence(epoch: Epoch): EngineReport;
  order(order: Order): OrderReply;
  complete(attempt: string, request: EngineRequest): TargetResponse;
  resume(attempt: string, from: number): TargetResponse;
  cancel(attempt: string): void;
  cacheEvents(after: number): CacheEventBatch;
  /** Simulates a crash: starts a new incarnation with empty memory. */
  restart(): void;
}

const notFound = 404;

function emptyResponse(status: number, notStarted: boolean): TargetResponse {
  async function* noBody(): AsyncGenerator<BodyPart> {}
  const headers: Record<string, string> = notStarted ? { "x-not-started": "true" } : {};
  return { status, headers, body: noBody() };
}

/** Creates an engine in its first incarnation. */
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
        // Only load figures are delayed; the fence and the leaving flag are current.
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
        return current.memory.refuse(order, "order is for another incarnation of this engine");
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
