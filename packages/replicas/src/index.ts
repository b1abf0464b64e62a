/** Finds the engines that can serve a model now. */
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { settingsName } from "@linkfall/config";
import { type Candidate, type EngineLoad, estimateWaitMs, loadPerSlot } from "@linkfall/routing";
import { stateStoreName } from "@linkfall/state-store";
import { targetLoadName } from "@linkfall/target-load";
import { targetWatchName, type EngineReportRecord } from "@linkfall/target-watch";
import {
  type Adapter,
  adapterArtifact,
  type Engine,
  type EngineReport,
  type Model,
  modelArtifact,
  type Resident,
} from "@linkfall/types";

/** An engine that can serve, and what it must be asked for. */
export interface Replica extends Candidate {
  readonly artifact: string;
  readonly adapterArtifact?: string;
}

export interface ReplicaFinder {
  /**
   * Engines that can serve the model, the adapter with it. Those with the current version come
   * alone; while none has it the older versions serve.
   */
  findServing(model: Model, adapter?: Adapter): readonly Replica[];
  /** Whether a copy is being loaded, so that a wait may be worth it. */
  isLoading(model: Model, adapter?: Adapter): boolean;
}

export const replicaFinderName = serviceName<ReplicaFinder>("replicas");

/** What one engine offers for a request. */
interface ServingEngine {
  readonly engine: Engine;
  readonly watched: EngineReportRecord;
  readonly artifact: string;
  readonly adapterArtifact?: string;
  readonly isCurrent: boolean;
}

const isReady = (resident: Resident) => resident.state === "ready";

/** The ready copy to use on an engine: of the current version, else of any other. */
function selectReadyCopy(residents: readonly Resident[], current: string): Resident | undefined {
  const anyVersion = current.slice(0, current.lastIndexOf("@") + 1);
  const copies = residents.filter(
    (resident) => isReady(resident) && resident.artifact.startsWith(anyVersion),
  );
  return copies.find((copy) => copy.artifact === current) ?? copies[0];
}

/** An adapter copy beside the model copy, on the same accelerator. */
function findColocatedAdapter(report: EngineReport, base: Resident, adapter: Adapter) {
  const beside = report.residents.filter((resident) => resident.accelerator === base.accelerator);
  return selectReadyCopy(beside, adapterArtifact(adapter.name, adapter.version));
}

/** Creates the finder of one box. */
export function createReplicaFinder(kernel: Kernel): ReplicaFinder {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const watch = kernel.find(targetWatchName);
  const load = kernel.find(targetLoadName);
  const staleMs = kernel.find(settingsName).targets.report_stale_ms;

  const offerOf = (engine: Engine, model: Model, adapter?: Adapter): ServingEngine | undefined => {
    const watched = watch.reportOf(engine.name);
    if (!watched || watch.isLeaving(engine)) return undefined;
    // A box that was paused does not know yet which targets have begun to leave meanwhile.
    if (clock.now() - watched.requestedAt > staleMs) return undefined;
    const current = modelArtifact(model.name, model.version);
    const base = selectReadyCopy(watched.report.residents, current);
    if (!base) return undefined;
    const beside = adapter && findColocatedAdapter(watched.report, base, adapter);
    if (adapter && !beside) return undefined;
    const isCurrent = base.artifact === current;
    return {
      engine,
      watched,
      artifact: base.artifact,
      adapterArtifact: beside?.artifact,
      isCurrent,
    };
  };

  const toReplica = (offer: ServingEngine): Replica => {
    const { engine, watched } = offer;
    const engineLoad: EngineLoad = {
      running: watched.report.running,
      queued: watched.report.queued,
      concurrency: engine.concurrency,
      unreportedRequests: load.unreportedRequests(engine.name, watched.requestedAt),
      meanServiceMs: load.meanServiceMs(engine.name),
    };
    return {
      target: engine.name,
      address: engine.address,
      load: loadPerSlot(engineLoad),
      waitMs: estimateWaitMs(engineLoad),
      artifact: offer.artifact,
      adapterArtifact: offer.adapterArtifact,
    };
  };

  const poolEngines = (model: Model) => store.desired().enginesByPool.get(model.pool) ?? [];

  /** Those that fulfil the test, or all where none does. */
  const prefer = (offers: readonly ServingEngine[], test: (offer: ServingEngine) => boolean) => {
    const preferred = offers.filter(test);
    return preferred.length > 0 ? preferred : offers;
  };

  return {
    findServing(model, adapter) {
      const now = clock.now();
      const offers = poolEngines(model)
        .map((engine) => offerOf(engine, model, adapter))
        .filter((offer) => offer !== undefined);
      const current = prefer(offers, (offer) => offer.isCurrent);
      const kept = load.ejection().selectAvailable(current, (offer) => offer.engine.name, now);
      return kept.map(toReplica);
    },
    isLoading(model, adapter) {
      const wanted = [modelArtifact(model.name, model.version)];
      if (adapter) wanted.push(adapterArtifact(adapter.name, adapter.version));
      return poolEngines(model).some((engine) =>
        watch
          .reportOf(engine.name)
          ?.report.residents.some(
            (resident) => wanted.includes(resident.artifact) && resident.state === "loading",
          ),
      );
    },
  };
}
