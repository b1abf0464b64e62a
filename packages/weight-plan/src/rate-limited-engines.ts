/** Engines that take only so many requests a second: which of their copies serve what is asked. */
import type { EngineView, DemandView } from "./engine-view.js";

const isRateLimited = ({ maxRequestsPerSecond: takesPerSecond }: EngineView) => takesPerSecond !== undefined;

/** Models that some engine without a limit holds, and does not drop. */
function modelsOnUnlimitedEngines(engines: readonly EngineView[]): ReadonlySet<string> {
  const held = engines
    .filter((engine) => !isRateLimited(engine))
    .flatMap(({ residents, unloadingModel: outgoing }) =>
      residents.map(({ name }) => name).filter((name) => name !== outgoing),
    );
  return new Set(held);
}

/** The engine's models that only limited engines hold and whose requests it takes, the least asked for first. */
function modelsWithinRateLimit(
  { residents, maxRequestsPerSecond: takesPerSecond = Infinity }: EngineView,
  elsewhere: ReadonlySet<string>,
  needs: ReadonlyMap<string, DemandView>,
): ReadonlySet<string> {
  const rateOf = (name: string) => needs.get(name)?.rate ?? 0;
  const names = residents.map(({ name }) => name).filter((name) => !elsewhere.has(name));
  const served = new Set<string>();
  let left = takesPerSecond;
  for (const name of names.sort((one, other) => rateOf(one) - rateOf(other))) {
    left -= rateOf(name);
    if (left >= 0) served.add(name);
  }
  return served;
}

/**
 * The engines without the copies that don't count: a limited engine serves only models that no other engine holds, as far
 * as its limit goes. What it can't serve needs another copy.
 */
export function withServingReplicas(
  engines: readonly EngineView[],
  needs: ReadonlyMap<string, DemandView>,
): readonly EngineView[] {
  if (!engines.some(isRateLimited)) return engines;
  const elsewhere = modelsOnUnlimitedEngines(engines);
  return engines.map((engine) => {
    if (!isRateLimited(engine)) return engine;
    const served = modelsWithinRateLimit(engine, elsewhere, needs);
    return { ...engine, residents: engine.residents.filter(({ name }) => served.has(name)) };
  });
}
