/** Requests as they come: skewed over models and stations, bursty, shifting without warning. */
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

/** Times of a run, in milliseconds from its start. */
export const phases = {
  /** Placing 40 models twice and 95 adapters takes 90 s at two loads a second. */
  requestsFrom: 115_000,
  measureFrom: 130_000,
  /** A tremor, or the evening shift: a few models are asked for far more. */
  shiftFrom: 170_000,
  shiftUntil: 240_000,
  /** A failure domain is lost here, in runs with faults. */
  lossFrom: 260_000,
  lossUntil: 300_000,
  end: 330_000,
} as const;

const skew = 0.9;
const stationsPerModel = 12;
const shiftedModels = 4;
const shiftFactor = 6;
const burstEveryMs: Milliseconds = 20_000;
const burstMs: Milliseconds = 8_000;
const burstFactor = 5;
const adapterShare = 0.3;
const shortDeadlineMs: Milliseconds = 6_000;
const longDeadlineMs: Milliseconds = 20_000;
const shortShare = 0.6;
const mostTokens = 8;
const stationLogCharacters = 700;

export interface Workload {
  /** Time until the next request. */
  nextGap(now: Milliseconds): Milliseconds;
  next(now: Milliseconds): Arrival;
}

/** The log of a station: the same for all requests about it. */
function stationLog(model: string, station: number): string {
  const line = `${model} station ${station} `;
  return line.repeat(Math.ceil(stationLogCharacters / line.length)).slice(0, stationLogCharacters);
}

/** Creates the requests of one run; steady ones know neither bursts nor shifts. */
export function createWorkload(deployment: Deployment, random: Random, steady = false): Workload {
  const { models, adapters } = deployment;
  const base = models.map((_, index) => 1 / (index + 1) ** skew);
  const total = base.reduce((sum, weight) => sum + weight, 0);
  const shifted = Array.from({ length: shiftedModels }, () => random.nextInt(models.length));
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
    base.map((weight, index) => {
      const inShift = !steady && now >= phases.shiftFrom && now < phases.shiftUntil;
      const byShift = inShift && shifted.includes(index) ? shiftFactor : 1;
      const byBurst = now < burst.until && burst.model === index ? burstFactor : 1;
      return weight * Math.max(byShift, byBurst);
    });

  const pickIndex = (list: readonly number[], sum: number) => {
    let left = random.nextFloat() * sum;
    const index = list.findIndex((weight) => (left -= weight) < 0);
    return index < 0 ? list.length - 1 : index;
  };

  return {
    nextGap(now) {
      updateBurst(now);
      const sum = weights(now).reduce((all, weight) => all + weight, 0);
      const rate = (deployment.baseRate * sum) / total;
      return (-Math.log(1 - random.nextFloat()) * 1_000) / rate;
    },
    next(now) {
      const list = weights(now);
      const index = pickIndex(
        list,
        list.reduce((all, weight) => all + weight, 0),
      );
      const model = models[index].name;
      const own = adapters.filter((adapter) => adapter.model === model);
      const useAdapter = own.length > 0 && random.nextFloat() < adapterShare;
      const station = Math.floor(stationsPerModel * random.nextFloat() ** 2);
      return {
        model: useAdapter ? own[random.nextInt(own.length)].name : model,
        prompt: `${stationLog(model, station)} question ${++sent}`,
        maxTokens: 2 + random.nextInt(mostTokens - 1),
        deadlineMs: random.nextFloat() < shortShare ? shortDeadlineMs : longDeadlineMs,
      };
    },
  };
}
