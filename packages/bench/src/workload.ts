/** Generates requests with skewed model popularity, bursts and a demand shift. */
import type { Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Deployment } from "./deployments.js";

/** One request to send. */
export interface Arrival {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: Milliseconds;
}

/** Phases of a run, in milliseconds from its start. */
export const phases = {
  /** Leaves time to load all models and adapters at the pool's load rate. */
  requestsFrom: 115_000,
  measureFrom: 130_000,
  /** Demand for a few models rises by `shiftFactor`. */
  shiftFrom: 170_000,
  shiftUntil: 240_000,
  /** In runs with faults, one failure domain is down. */
  lossFrom: 260_000,
  lossUntil: 300_000,
  end: 330_000,
} as const;

const popularityExponent = 0.9;
const stationsPerModel = 12;
const shiftedModelCount = 4;
const shiftFactor = 6;
const burstEveryMs: Milliseconds = 20_000;
const burstMs: Milliseconds = 8_000;
const burstFactor = 5;
const adapterShare = 0.3;
const shortDeadlineMs: Milliseconds = 6_000;
const longDeadlineMs: Milliseconds = 20_000;
const shortDeadlineShare = 0.6;
const maxOutputTokens = 8;
const stationLogCharacters = 700;

/** A Poisson process of requests whose rate varies over time. */
export interface Workload {
  /** Time until the next request, in milliseconds. */
  nextGapMs(now: Milliseconds): Milliseconds;
  next(now: Milliseconds): Arrival;
}

/** Common prompt prefix of all requests for a model's station. */
function stationLog(model: string, station: number): string {
  const line = `${model} station ${station} `;
  return line.repeat(Math.ceil(stationLogCharacters / line.length)).slice(0, stationLogCharacters);
}

/** Creates the workload of one run; `steady` disables bursts and the demand shift. */
export function createWorkload(deployment: Deployment, random: Random, steady = false): Workload {
  const { models, adapters } = deployment;
  const baseWeights = models.map((_, index) => 1 / (index + 1) ** popularityExponent);
  const totalBaseWeight = baseWeights.reduce((sum, weight) => sum + weight, 0);
  const shifted = Array.from({ length: shiftedModelCount }, () => random.nextInt(models.length));
  let burst = { model: 0, until: -Infinity, next: burstEveryMs };
  let sent = 0;

  const updateBurst = (now: Milliseconds) => {
    if (steady || now < burst.next) return;
    burst = {
      model: random.nextInt(models.length),
      until: now + burstMs,
      next: now + burstEveryMs,
    };
  };

  const weights = (now: Milliseconds) =>
    baseWeights.map((weight, index) => {
      const inShift = !steady && now >= phases.shiftFrom && now < phases.shiftUntil;
      const shiftWeight = inShift && shifted.includes(index) ? shiftFactor : 1;
      const burstWeight = now < burst.until && burst.model === index ? burstFactor : 1;
      return weight * Math.max(shiftWeight, burstWeight);
    });

  const pickIndex = (list: readonly number[], sum: number) => {
    let remaining = random.nextFloat() * sum;
    const index = list.findIndex((weight) => (remaining -= weight) < 0);
    return index < 0 ? list.length - 1 : index;
  };

  return {
    nextGapMs(now) {
      updateBurst(now);
      const sum = weights(now).reduce((all, weight) => all + weight, 0);
      const rate = (deployment.baseRate * sum) / totalBaseWeight;
      return (-Math.log(1 - random.nextFloat()) * 1_000) / rate;
    },
    next(now) {
      const list = weights(now);
      const index = pickIndex(
        list,
        list.reduce((all, weight) => all + weight, 0),
      );
      const model = models[index].name;
      const modelAdapters = adapters.filter((adapter) => adapter.model === model);
      const useAdapter = modelAdapters.length > 0 && random.nextFloat() < adapterShare;
      const station = Math.floor(stationsPerModel * random.nextFloat() ** 2);
      return {
        model: useAdapter ? modelAdapters[random.nextInt(modelAdapters.length)].name : model,
        prompt: `${stationLog(model, station)} question ${++sent}`,
        maxTokens: 2 + random.nextInt(maxOutputTokens - 1),
        deadlineMs: random.nextFloat() < shortDeadlineShare ? shortDeadlineMs : longDeadlineMs,
      };
    },
  };
}
