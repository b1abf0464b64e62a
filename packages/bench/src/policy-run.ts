/** Simulates a deployment of complete boxes under one policy and summarises the outcome. */
import { pick, seededRandom, sleep } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import type { BodyPart, CallerResponse } from "@linkfall/ports";
import { createWorld, type ExtraSettings, operatorToken, type World } from "@linkfall/soak";
import type { Change, Milliseconds } from "@linkfall/types";
import { accountToken, type Deployment } from "./deployments.js";
import { type Arrival, createWorkload, phases } from "./workload.js";

const msPerMinute: Milliseconds = 60_000;

/** A policy configuration to compare with others. */
export interface Variant {
  readonly name: string;
  readonly settings: ExtraSettings;
  /** Overrides the resources that are written at the start. */
  readonly resources?: (deployment: Deployment) => Deployment["resources"];
}

/** Conditions of a run, independent of the variant. */
export interface RunConditions {
  /** Takes a failure domain down from `phases.lossFrom` to `phases.lossUntil`. */
  readonly faults: boolean;
  /** Disables bursts and the demand shift. */
  readonly steady: boolean;
  /** Minutes added to the end of the run. */
  readonly extraMinutes: number;
}

/** Metrics of the requests sent after `phases.measureFrom`. */
export interface RunResult {
  /** Fraction of requests answered completely within their deadline. */
  readonly attainment: number;
  /** Fraction of requests with the outcome `not_run`. */
  readonly notRun: number;
  /** Loads, unloads and role changes. */
  readonly moves: number;
  /** Times to the last byte of complete responses, sorted. */
  readonly latencies: readonly Milliseconds[];
  readonly requests: number;
  /** Number of requests that missed their deadline, by phase and refusal code (`late` or `cut` without one). */
  readonly missed: ReadonlyMap<string, number>;
}

interface Tally {
  requests: number;
  metDeadline: number;
  notRun: number;
  readonly missed: Map<string, number>;
  readonly latencies: Milliseconds[];
}

async function readToEnd(response: CallerResponse): Promise<boolean> {
  if (response.body instanceof Uint8Array) return response.status === 200;
  for await (const part of response.body as AsyncIterable<BodyPart>)
    if (part.isLeft()) return false;
  return response.status === 200;
}

async function send(world: World, arrival: Arrival, tally: Tally): Promise<void> {
  const { clock, random } = world;
  const inMeasuredPhase = clock.now() >= phases.measureFrom;
  const startedAt = clock.now();
  const body = { model: arrival.model, prompt: arrival.prompt, max_tokens: arrival.maxTokens };
  const response = await world.call(pick(random, world.liveBoxes()), {
    method: "POST",
    path: "/v1/completions",
    headers: {
      authorization: `Bearer ${accountToken}`,
      "linkfall-deadline-ms": String(arrival.deadlineMs),
    },
    body: Buffer.from(JSON.stringify(body)),
    signal: new AbortController().signal,
  });
  const complete = response !== undefined && (await readToEnd(response));
  if (!inMeasuredPhase) return;
  recordMiss(tally, arrival, response, complete, startedAt, clock.now());
  const latencyMs = clock.now() - startedAt;
  tally.requests += 1;
  if (complete) tally.latencies.push(latencyMs);
  if (complete && latencyMs <= arrival.deadlineMs) tally.metDeadline += 1;
  if (response?.headers["linkfall-outcome"] === "not_run") tally.notRun += 1;
}

function phaseAt(at: Milliseconds): string {
  if (at >= phases.lossFrom) return "loss";
  if (at >= phases.shiftUntil) return "after";
  return at >= phases.shiftFrom ? "shift" : "steady";
}

function recordMiss(
  tally: Tally,
  arrival: Arrival,
  response: CallerResponse | undefined,
  complete: boolean,
  startedAt: Milliseconds,
  now: Milliseconds,
): void {
  if (complete && now - startedAt <= arrival.deadlineMs) return;
  const body =
    response?.body instanceof Uint8Array ? Buffer.from(response.body).toString("utf8") : "";
  const code = /"code":"(\w+)"/.exec(body)?.[1] ?? (complete ? "late" : "cut");
  const key = `${phaseAt(startedAt)} ${code}`;
  tally.missed.set(key, (tally.missed.get(key) ?? 0) + 1);
}

async function writeResources(world: World, resources: Deployment["resources"]): Promise<void> {
  const changes = resources.map((resource): Change => ({ action: "put", resource, base: 0 }));
  await world.boxes[0].box.operators.handle({
    method: "POST",
    path: "/v1/writes",
    headers: { authorization: `Bearer ${operatorToken}` },
    body: Buffer.from(JSON.stringify({ changes })),
    signal: new AbortController().signal,
  });
}

function countMoves(world: World): number {
  const kinds = ["load", "unload", "role"];
  const causes = ["reachability", "min_replicas", "adapter", "make_room", "demand", "role"];
  return world.boxes.reduce((sum, { box }) => {
    const metrics = box.kernel.find(metricsName);
    const counts = kinds.flatMap((kind) =>
      causes.map((cause) => metrics.counterValue("linkfall_moves_total", { kind, cause })),
    );
    return sum + counts.reduce((all, count) => all + count, 0);
  }, 0);
}

function scheduleDomainLoss(world: World, deployment: Deployment): void {
  const [domain] = deployment.targets.domains;
  const lostEngines = world.engines.filter((engine) => engine.core.engine.domain === domain);
  world.clock.after(phases.lossFrom, () => {
    for (const engine of lostEngines) {
      engine.down = true;
      engine.core.restart();
    }
  });
  world.clock.after(phases.lossUntil, () => {
    for (const engine of lostEngines) engine.down = false;
  });
}

/** Runs a deployment once under the variant's settings. */
export async function runPolicy(
  deployment: Deployment,
  variant: Variant,
  seed: number,
  conditions: RunConditions,
): Promise<RunResult> {
  const world = createWorld(seed, { targets: deployment.targets, settings: variant.settings });
  // A separate generator gives every variant the same requests.
  const workload = createWorkload(deployment, seededRandom(seed), conditions.steady);
  const tally: Tally = { requests: 0, metDeadline: 0, notRun: 0, missed: new Map(), latencies: [] };
  for (let index = 1; index <= deployment.boxes; index++) await world.startBox(`b${index}`);
  if (conditions.faults) scheduleDomainLoss(world, deployment);

  const endMs = phases.end + conditions.extraMinutes * msPerMinute;
  const sendArrivals = async () => {
    while (world.clock.now() < endMs) {
      await sleep(world.clock, workload.nextGapMs(world.clock.now()));
      void send(world, workload.next(world.clock.now()), tally);
    }
  };
  await world.clock.runUntil(1_000);
  void writeResources(world, variant.resources?.(deployment) ?? deployment.resources);
  world.clock.after(phases.requestsFrom, () => void sendArrivals());
  await world.clock.runUntil(phases.measureFrom);
  const movesBefore = countMoves(world);
  await world.clock.runUntil(endMs + 20_000);
  return {
    attainment: tally.metDeadline / tally.requests,
    notRun: tally.notRun / tally.requests,
    moves: countMoves(world) - movesBefore,
    latencies: tally.latencies.sort((a, b) => a - b),
    requests: tally.requests,
    missed: tally.missed,
  };
}
