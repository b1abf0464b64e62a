/** The continuous batch of an engine stand-in: steps, priorities, prefix cache and streams. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import { hash32 } from "@linkfall/rendezvous";
import type { CacheEvent, Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";

/** Speeds of an engine. */
export interface BatchOptions {
  readonly concurrency: number;
  /** Length of a step, in which each running request gains one token. */
  readonly stepMs: Milliseconds;
  /** What each running request adds to a step. */
  readonly stepPerRequestMs: Milliseconds;
  /** Time to read one character of a prompt that is not cached. */
  readonly prefillMsPerCharacter: Milliseconds;
  /** Prefixes that the cache holds. */
  readonly maxCachedPrefixes: number;
  readonly prefixCharacters: number;
}

/** A request as the engine's protocol carries it. */
export interface EngineRequest {
  readonly request_id: string;
  readonly model: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly priority: number;
  readonly cache_scope: string;
  readonly continue_from?: { readonly text: string; readonly position: number };
}

interface Stream {
  readonly attempt: string;
  readonly request: EngineRequest;
  readonly accelerator: number;
  readonly answerTokens: number;
  readonly firstPosition: number;
  readonly arrivalNumber: number;
  /** Events of the tokens from `first` on. */
  readonly events: string[];
  state: "queued" | "running" | "done" | "cut";
  waiters: (() => void)[];
}

const finishedStreamRetentionMs: Milliseconds = 30_000;
const maxCacheEvents = 256;
/** Cache events are shown this late, and every so many of them is never shown. */
const cacheEventLagMs: Milliseconds = 400;
const droppedCacheEventInterval = 20;
const millisecondsPerSecond = 1000;
const rateSmoothing = 0.05;

/** The token at a place of the answer: the same for every engine, so that answers can be checked. */
export function tokenAt(
  request: Pick<EngineRequest, "model" | "prompt">,
  position: number,
): string {
  const model = request.model.slice(0, request.model.lastIndexOf("@"));
  return ` t${hash32(`${model}/${request.prompt}/${position}`) % 9973}`;
}

/** How many tokens the whole answer has. */
export function answerTokenCount(
  request: Pick<EngineRequest, "model" | "prompt" | "max_tokens">,
): number {
  const model = request.model.slice(0, request.model.lastIndexOf("@"));
  const maxTokens = request.max_tokens;
  return Math.max(
    1,
    Math.ceil(maxTokens / 2) +
      (hash32(`${model}/${request.prompt}`) % Math.ceil(maxTokens / 2 + 1)),
  );
}

export interface EngineBatch {
  /** Takes a request; its stream can be read from then on. */
  start(attempt: string, request: EngineRequest, accelerator: number): void;
  /** The stream from a position on, or undefined where the attempt is not known. */
  readStream(attempt: string, from: number): AsyncIterable<BodyPart> | undefined;
  cancel(attempt: string): void;
  isBusy(artifact: string, accelerator: number): boolean;
  running(): number;
  queued(): number;
  pendingTokens(): number;
  tokensPerSecond(): number;
  cacheEvents(after: number): readonly CacheEvent[];
  /** Cuts every stream, as when the process dies. */
  destroy(): void;
}

/** Creates the batch of one engine start. */
export function createEngineBatch(
  clock: Clock,
  options: BatchOptions,
  onChange: () => void,
): EngineBatch {
  const streams = new Map<string, Stream>();
  const cache = new Map<string, true>();
  let cacheLog: CacheEvent[] = [];
  let cacheSequence = 0;
  let startedCount = 0;
  let stepping = false;
  let destroyed = false;
  let smoothedTokensPerSecond = 0;

  const streamsInState = (state: Stream["state"]) =>
    [...streams.values()].filter((stream) => stream.state === state);
  const wakeReaders = (stream: Stream) => {
    for (const wake of stream.waiters.splice(0)) wake();
  };
  const recordCacheEvent = (kind: CacheEvent["kind"], prefixKey: string) => {
    const event = { sequence: ++cacheSequence, kind, prefixKey };
    if (event.sequence % droppedCacheEventInterval === 0) return;
    clock.after(cacheEventLagMs, () => {
      cacheLog = [...cacheLog, event].slice(-maxCacheEvents);
    });
  };

  /** Time to read the prompt; a cached prefix costs nothing. */
  const startPrefill = (request: EngineRequest): Milliseconds => {
    const prefix = request.prompt.slice(0, options.prefixCharacters);
    const key = `${request.cache_scope}/${request.model}/${hash32(prefix)}`;
    const hit = cache.delete(key);
    cache.set(key, true);
    if (!hit) recordCacheEvent("stored", key);
    const oldest = cache.keys().next().value;
    if (cache.size > options.maxCachedPrefixes && oldest !== undefined) {
      cache.delete(oldest);
      recordCacheEvent("evicted", oldest);
    }
    const characters = request.prompt.length - (hit ? prefix.length : 0);
    return characters * options.prefillMsPerCharacter;
  };

  const admitQueued = (): Milliseconds => {
    const freeSlots = options.concurrency - streamsInState("running").length;
    const waiting = streamsInState("queued").sort(
      (a, b) => b.request.priority - a.request.priority || a.arrivalNumber - b.arrivalNumber,
    );
    let prefillMs = 0;
    for (const stream of waiting.slice(0, freeSlots)) {
      stream.state = "running";
      prefillMs += startPrefill(stream.request);
    }
    return prefillMs;
  };

  const emitToken = (stream: Stream) => {
    const position = stream.firstPosition + stream.events.length;
    const last = position === stream.answerTokens - 1;
    const text = tokenAt(stream.request, position);
    const choice = { index: 0, text, finish_reason: last ? "stop" : null };
    const data = JSON.stringify({ id: stream.attempt, choices: [choice] });
    stream.events.push(`id: ${position}\ndata: ${data}\n\n`);
    if (last) finish(stream, "done");
    wakeReaders(stream);
  };

  const finish = (stream: Stream, state: "done" | "cut") => {
    stream.state = state;
    onChange();
    clock.after(finishedStreamRetentionMs, () => streams.delete(stream.attempt));
  };

  const runStep = () => {
    const prefillMs = admitQueued();
    const batch = streamsInState("running");
    stepping = batch.length > 0;
    if (!stepping) return;
    const length = options.stepMs + options.stepPerRequestMs * batch.length + prefillMs;
    clock.after(length, () => {
      if (destroyed) return;
      const stepTokensPerSecond = (batch.length * millisecondsPerSecond) / length;
      smoothedTokensPerSecond += rateSmoothing * (stepTokensPerSecond - smoothedTokensPerSecond);
      for (const stream of batch) if (stream.state === "running") emitToken(stream);
      runStep();
    });
  };

  async function* events(stream: Stream, from: number): AsyncGenerator<BodyPart> {
    let next = Math.max(0, from - stream.firstPosition);
    for (;;) {
      while (next < stream.events.length) yield Right(Buffer.from(stream.events[next++]));
      if (stream.state === "done") {
        yield Right(Buffer.from("data: [DONE]\n\n"));
        return;
      }
      if (stream.state === "cut") {
        yield Left({
          kind: "target_unreachable",
          reason: "the engine is gone",
          mayHaveArrived: true,
        });
        return;
      }
      await new Promise<void>((resolve) => stream.waiters.push(resolve));
    }
  }

  return {
    start(attempt, request, accelerator) {
      const first = request.continue_from?.position ?? 0;
      const length = Math.max(first + 1, answerTokenCount(request));
      const stream: Stream = {
        attempt,
        request,
        accelerator,
        answerTokens: length,
        firstPosition: first,
        arrivalNumber: startedCount++,
        events: [],
        state: "queued",
        waiters: [],
      };
      streams.set(attempt, stream);
      onChange();
      if (!stepping) runStep();
    },
    readStream(attempt, from) {
      const stream = streams.get(attempt);
      return stream && events(stream, from);
    },
    cancel(attempt) {
      const stream = streams.get(attempt);
      if (!stream || stream.state === "done") return;
      finish(stream, "cut");
      wakeReaders(stream);
    },
    isBusy: (artifact, accelerator) =>
      [...streamsInState("running"), ...streamsInState("queued")].some(
        (stream) =>
          stream.accelerator === accelerator &&
          (stream.request.model === artifact || stream.request.adapter === artifact),
      ),
    running: () => streamsInState("running").length,
    queued: () => streamsInState("queued").length,
    pendingTokens: () =>
      [...streamsInState("running"), ...streamsInState("queued")].reduce(
        (sum, stream) => sum + stream.request.max_tokens - stream.events.length,
        0,
      ),
    tokensPerSecond: () => smoothedTokensPerSecond,
    cacheEvents: (after) => cacheLog.filter((event) => event.sequence > after),
    destroy() {
      destroyed = true;
      for (const stream of streams.values()) {
        if (stream.state === "done") continue;
        stream.state = "cut";
        wakeReaders(stream);
      }
    },
  };
}
