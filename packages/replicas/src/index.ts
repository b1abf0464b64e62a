/** Finds the engines that can currently serve a model. */
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

/** An engine that can serve a request, and the artifacts to request from it. */
export interface Replica extends Candidate {
  readonly artifact: string;
  readonly adapterArtifact?: string;
}

export interface ReplicaFinder {
  /**
   * Returns the engines that can serve the model, and the adapter if given. Engines with the
   * current version are preferred; older versions are only returned while none has it.
   */
  findServing(model: Model, adapter?: Adapter): readonly Replica[];
  /** Returns whether a copy is being loaded, in which case waiting may be worthwhile. */
  isLoading(model: Model, adapter?: Adapter): boolean;
}

export const replicaFinderName = serviceName<ReplicaFinder>("replicas");

/** An engine that can serve a request, with the artifacts it would use. */
interface ServingEngine {
  readonly engine: Engine;
  readonly watched: EngineReportRecord;
  readonly artifact: string;
  readonly adapterArtifact?: string;
  readonly isCurrent: boolean;
}

const isReady = (resident: Resident) => resident.state === "ready";

/** Returns the ready copy to use: the current version, or else any other. */
function selectReadyCopy(
  residents: readonly Resident[],
  currentArtifact: string,
): Resident | undefined {
  const versionlessPrefix = currentArtifact.slice(0, currentArtifact.lastIndexOf("@") + 1);
  const copies = residents.filter(
    (resident) => isReady(resident) && resident.artifact.startsWith(versionlessPrefix),
  );
  return copies.find((copy) => copy.artifact === currentArtifact) ?? copies[0];
}

/** Returns the adapter copy on the same accelerator as the model copy. */
function findColocatedAdapter(report: EngineReport, modelCopy: Resident, adapter: Adapter) {
  const colocated = report.residents.filter(
    (resident) => resident.accelerator === modelCopy.accelerator,
  );
  return selectReadyCopy(colocated, adapterArtifact(adapter.name, adapter.version));
}

/** Creates the replica finder of one box. */
export function createReplicaFinder(kernel: Kernel): ReplicaFinder {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const watch = kernel.find(targetWatchName);
  const targetLoad = kernel.find(targetLoadName);
  const staleMs = kernel.find(settingsName).targets.report_stale_ms;

  const servingEngineOf = (
    engine: Engine,
    model: Model,
    adapter?: Adapter,
  ): ServingEngine | undefined => {
    const watched = watch.reportOf(engine.name);
    if (!watched || watch.isLeaving(engine)) return undefined;
    // After a pause, this box may not have received recent notices of leaving targets.
    if (clock.now() - watched.requestedAt > staleMs) return undefined;
    const currentArtifact = modelArtifact(model.name, model.version);
    const modelCopy = selectReadyCopy(watched.report.residents, currentArtifact);
    if (!modelCopy) return undefined;
    const adapterCopy = adapter && findColocatedAdapter(watched.report, modelCopy, adapter);
    if (adapter && !adapterCopy) return undefined;
    const isCurrent = modelCopy.artifact === currentArtifact;
    return {
      engine,
      watched,
      artifact: modelCopy.artifact,
      adapterArtifact: adapterCopy?.artifact,
      isCurrent,
    };
  };

  const toReplica = (candidate: ServingEngine): Replica => {
    const { engine, watched } = candidate;
    const engineLoad: EngineLoad = {
      running: watched.report.running,
      queued: watched.report.queued,
      concurrency: engine.concurrency,
      unreportedRequests: targetLoad.unreportedRequests(engine.name, watched.requestedAt),
      meanServiceMs: targetLoad.meanServiceMs(engine.name),
    };
    return {
      target: engine.name,
      address: engine.address,
      load: loadPerSlot(engineLoad),
      waitMs: estimateWaitMs(engineLoad),
      artifact: candidate.artifact,
      adapterArtifact: candidate.adapterArtifact,
    };
  };

  const poolEngines = (model: Model) => store.desired().enginesByPool.get(model.pool) ?? [];

  /** Returns the engines that match the predicate, or all if none does. */
  const prefer = (
    candidates: readonly ServingEngine[],
    predicate: (candidate: ServingEngine) => boolean,
  ) => {
    const preferred = candidates.filter(predicate);
    return preferred.length > 0 ? preferred : candidates;
  };

  return {
    findServing(model, adapter) {
      const now = clock.now();
      const candidates = poolEngines(model)
        .map((engine) => servingEngineOf(engine, model, adapter))
        .filter((candidate) => candidate !== undefined);
      const preferred = prefer(candidates, (candidate) => candidate.isCurrent);
      const healthy = targetLoad
        .ejection()
        .selectAvailable(preferred, (candidate) => candidate.engine.name, now);
      return healthy.map(toReplica);
    },
    isLoading(model, adapter) {
      const artifacts = [modelArtifact(model.name, model.version)];
      if (adapter) artifacts.push(adapterArtifact(adapter.name, adapter.version));
      return poolEngines(model).some((engine) =>
        watch
          .reportOf(engine.name)
          ?.report.residents.some(
            (resident) => artifacts.includes(resident.artifact) && resident.state === "loading",
          ),
      );
    },
  };
}
