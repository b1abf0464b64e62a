/** Determines which replicas on rate-limited engines count as serving capacity. */
import type { DemandView, EngineView } from "./engine-view.js";

const isRateLimited = ({ maxRequestsPerSecond: limit }: EngineView) => limit !== undefined;

/** Returns the models loaded on an engine without a rate limit, except those being unloaded. */
function modelsOnUnlimitedEngines(engines: readonly EngineView[]): ReadonlySet<string> {
  const models = engines
    .filter((engine) => !isRateLimited(engine))
    .flatMap(({ residents, unloadingModel }) =>
      residents.map(({ name }) => name).filter((name) => name !== unloadingModel),
    );
  return new Set(models);
}

/**
 * Selects the models of a rate-limited engine that fit within its rate limit, lowest request rate
 * first. Models that are also loaded elsewhere are skipped.
 */
function modelsWithinRateLimit(
  { residents, maxRequestsPerSecond: limit = Infinity }: EngineView,
  elsewhere: ReadonlySet<string>,
  demand: ReadonlyMap<string, DemandView>,
): ReadonlySet<string> {
  const rateOf = (name: string) => demand.get(name)?.rate ?? 0;
  const candidates = residents.map(({ name }) => name).filter((name) => !elsewhere.has(name));
  const served = new Set<string>();
  let remaining = limit;
  for (const name of candidates.sort((one, other) => rateOf(one) - rateOf(other))) {
    remaining -= rateOf(name);
    if (remaining >= 0) served.add(name);
  }
  return served;
}

/**
 * Removes replicas that add no usable capacity: a rate-limited engine only serves models that no
 * unlimited engine holds, up to its rate limit. All other models need another replica.
 */
export function withServingReplicas(
  engines: readonly EngineView[],
  demand: ReadonlyMap<string, DemandView>,
): readonly EngineView[] {
  if (!engines.some(isRateLimited)) return engines;
  const elsewhere = modelsOnUnlimitedEngines(engines);
  return engines.map((engine) => {
    if (!isRateLimited(engine)) return engine;
    const served = modelsWithinRateLimit(engine, elsewhere, demand);
    return { ...engine, residents: engine.residents.filter(({ name }) => served.has(name)) };
  });
}
