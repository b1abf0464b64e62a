/** Measures demand by model, as an exponentially smoothed rate. */
import type { Clock } from "@linkfall/kernel";
import type { DemandSample, Milliseconds } from "@linkfall/types";

const timeConstantMs: Milliseconds = 20_000;
const millisecondsPerSecond = 1000;
/** Rates under this are not worth passing on. */
const minReportedRate = 0.001;

interface DecayingTotals {
  requests: number;
  tokens: number;
  updatedAt: Milliseconds;
}

export interface DemandMeter {
  /** Counts one request that asks for `tokens` output tokens. */
  recordRequest(model: string, tokens: number): void;
  /** This box's own demand. */
  localDemand(): readonly DemandSample[];
}

function decay(entry: DecayingTotals, now: Milliseconds): void {
  const factor = Math.exp(-(now - entry.updatedAt) / timeConstantMs);
  entry.requests *= factor;
  entry.tokens *= factor;
  entry.updatedAt = now;
}

function toSample(model: string, entry: DecayingTotals): DemandSample {
  const seconds = timeConstantMs / millisecondsPerSecond;
  return {
    model,
    requestsPerSecond: entry.requests / seconds,
    tokensPerSecond: entry.tokens / seconds,
  };
}

/** Creates a meter that has seen nothing. */
export function createDemandMeter(clock: Clock): DemandMeter {
  const entries = new Map<string, DecayingTotals>();
  return {
    recordRequest(model, tokens) {
      const now = clock.now();
      const entry = entries.get(model) ?? { requests: 0, tokens: 0, updatedAt: now };
      entries.set(model, entry);
      decay(entry, now);
      entry.requests += 1;
      entry.tokens += tokens;
    },
    localDemand() {
      const now = clock.now();
      const samples: DemandSample[] = [];
      for (const [model, entry] of entries) {
        decay(entry, now);
        const sample = toSample(model, entry);
        if (sample.requestsPerSecond < minReportedRate) entries.delete(model);
        else samples.push(sample);
      }
      return samples;
    },
  };
}

/** Each model's share of the tokens that are asked for, over all samples. */
export function demandShares(
  reports: readonly (readonly DemandSample[])[],
): ReadonlyMap<string, number> {
  const totals = new Map<string, number>();
  let all = 0;
  for (const sample of reports.flat()) {
    totals.set(sample.model, (totals.get(sample.model) ?? 0) + sample.tokensPerSecond);
    all += sample.tokensPerSecond;
  }
  if (all === 0) return new Map();
  return new Map([...totals].map(([model, tokens]) => [model, tokens / all]));
}
