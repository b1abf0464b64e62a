/** The state of models and engines as observed by this box. */
import type { Kernel } from "@linkfall/kernel";
import { stateStoreName } from "@linkfall/state-store";
import { targetWatchName } from "@linkfall/target-watch";
import { replicaFinderName } from "@linkfall/replicas";
import { modelArtifact, type Resident } from "@linkfall/types";
import type { EngineStatus, ModelStatus } from "./api-types.js";

export interface StatusView {
  models(): readonly ModelStatus[];
  engines(): readonly EngineStatus[];
}

/** Creates the status view of this box. */
export function createStatusView(kernel: Kernel): StatusView {
  const store = kernel.find(stateStoreName);
  const targetWatch = kernel.find(targetWatchName);
  const replicaIndex = kernel.find(replicaFinderName);

  const residents = (): readonly Resident[] =>
    [...store.desired().engines.keys()].flatMap(
      (engine) => targetWatch.reportOf(engine)?.report.residents ?? [],
    );

  return {
    models() {
      const allResidents = residents();
      return [...store.desired().models.values()].map((model) => {
        const currentArtifact = modelArtifact(model.name, model.version);
        const artifactPrefix = modelArtifact(model.name, "");
        const replicasOfModel = allResidents.filter((replica) =>
          replica.artifact.startsWith(artifactPrefix),
        );
        const adapters = [...store.desired().adapters.values()].filter(
          (adapter) => adapter.model === model.name,
        );
        const readyAdapters = adapters.filter(
          (adapter) => replicaIndex.findServing(model, adapter).length > 0,
        );
        const count = (matches: (replica: Resident) => boolean) =>
          replicasOfModel.filter(matches).length;
        return {
          model: model.name,
          version: model.version,
          ready: count(
            (replica) => replica.artifact === currentArtifact && replica.state === "ready",
          ),
          loading: count(
            (replica) => replica.artifact === currentArtifact && replica.state === "loading",
          ),
          readyOld: count(
            (replica) => replica.artifact !== currentArtifact && replica.state === "ready",
          ),
          adaptersReady: readyAdapters.length,
          adapters: adapters.length,
        };
      });
    },
    engines: () =>
      [...store.desired().engines.values()].map((engine) => {
        const report = targetWatch.reportOf(engine.name)?.report;
        return {
          engine: engine.name,
          reported: report !== undefined,
          leaving: targetWatch.isLeaving(engine),
          role: report?.role,
          residents: report?.residents ?? [],
          running: report?.running ?? 0,
          queued: report?.queued ?? 0,
        };
      }),
  };
}
