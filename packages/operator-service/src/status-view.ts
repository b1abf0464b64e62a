/** The state of models and engines as this box sees it. */
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

/** Creates the view of one box. */
export function createStatusView(kernel: Kernel): StatusView {
  const store = kernel.find(stateStoreName);
  const watch = kernel.find(targetWatchName);
  const replicas = kernel.find(replicaFinderName);

  const residents = (): readonly Resident[] =>
    [...store.desired().engines.keys()].flatMap(
      (engine) => watch.reportOf(engine)?.report.residents ?? [],
    );

  return {
    models() {
      const all = residents();
      return [...store.desired().models.values()].map((model) => {
        const current = modelArtifact(model.name, model.version);
        const anyVersion = modelArtifact(model.name, "");
        const copies = all.filter((copy) => copy.artifact.startsWith(anyVersion));
        const adapters = [...store.desired().adapters.values()].filter(
          (adapter) => adapter.model === model.name,
        );
        const callable = adapters.filter(
          (adapter) => replicas.findServing(model, adapter).length > 0,
        );
        const count = (test: (copy: Resident) => boolean) => copies.filter(test).length;
        return {
          model: model.name,
          version: model.version,
          ready: count((copy) => copy.artifact === current && copy.state === "ready"),
          loading: count((copy) => copy.artifact === current && copy.state === "loading"),
          readyOld: count((copy) => copy.artifact !== current && copy.state === "ready"),
          adaptersReady: callable.length,
          adapters: adapters.length,
        };
      });
    },
    engines: () =>
      [...store.desired().engines.values()].map((engine) => {
        const report = watch.reportOf(engine.name)?.report;
        return {
          engine: engine.name,
          reported: report !== undefined,
          leaving: watch.isLeaving(engine),
          role: report?.role,
          residents: report?.residents ?? [],
          running: report?.running ?? 0,
          queued: report?.queued ?? 0,
        };
      }),
  };
}
