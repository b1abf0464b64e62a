/** Measures demand by model, as an exponentially smoothed rate. */
import type { Clock } from "@linkfall/kernel";
import type { DemandSample, Milliseconds } from "@linkfall/types";

const smoothingMs: Milliseconds = 20_000;
const millisecondsPerSecond = 1000;
/** Rates under this are not worth passing on. */
const negligibleRate = 0.001;

interface Decaying {
  requests: number;
  tokens: number;
  at: Milliseconds;
}

export interface DemandMeter {
  /** Counts one request that asks for `tokens` output tokens. */
  note(model: string, tokens: number): void;
  /** This box's own demand. */
  own(): readonly DemandSample[];
}

function decay(entry: Decaying, now: Milliseconds): void {
  const factor = Math.exp(-(now - entry.at) / smoothingMs);
  entry.requests *= factor;
  entry.tokens *= factor;
  entry.at = now;
}

function toSample(model: string, entry: Decaying): DemandSample {
  const seconds = smoothingMs / millisecondsPerSecond;
  return {
    model,
    requestsPerSecond: entry.requests / seconds,
    tokensPerSecond: entry.tokens / seconds,
  };
}

/** Creates a meter that has seen nothing. */
export function createDemandMeter(clock: Clock): DemandMeter {
  const entries = new Map<string, Decaying>();
  return {
    note(model, tokens) {
      const now = clock.now();
      const entry = entries.get(model) ?? { requests: 0, tokens: 0, at: now };
      entries.set(model, entry);
      decay(entry, now);
      entry.requests += 1;
      entry.tokens += tokens;
    },
    own() {
      const now = clock.now();
      const samples: DemandSample[] = [];
      for (const [model, entry] of entries) {
        decay(entry, now);
        const sample = toSample(model, entry);
        if (sample.requestsPerSecond < negligibleRate) entries.delete(model);
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
