/** Continuous batching of a simulated engine: decoding steps, priorities, prefix cache and streams. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart } from "@linkfall/ports";
import { hash32 } from "@linkfall/rendezvous";
import type { CacheEvent, Milliseconds } from "@linkfall/types";
import { Left, Right } from "purify-ts";

/** Concurrency, timing and cache size of a simulated engine. */
export interface BatchOptions {
  /** Maximum number of running requests; others are queued. */
  readonly concurrency: number;
  /** Base duration of a step, in which each running request generates one token. */
  readonly stepMs: Milliseconds;
  /** Added to the duration of a step for each running request. */
  readonly stepPerRequestMs: Milliseconds;
  /** Prefill time for each prompt character that is not cached. */
  readonly prefillMsPerCharacter: Milliseconds;
  /** Capacity of the prefix cache, in prefixes. */
  readonly maxCachedPrefixes: number;
  /** Length of the part of a prompt that is cached. */
  readonly prefixCharacters: number;
}

/** Body of a completion request in the engine protocol. */
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

/** One attempt of a request and the tokens generated for it. */
interface Stream {
  readonly attempt: string;
  readonly request: EngineRequest;
  readonly accelerator: number;
  readonly answerTokens: number;
  readonly firstPosition: number;
  readonly arrivalNumber: number;
  /** Server-sent events of the tokens from `firstPosition` on. */
  readonly events: string[];
  state: "queued" | "running" | "done" | "cut";
  waiters: (() => void)[];
}

const finishedStreamRetentionMs: Milliseconds = 30_000;
const maxCacheEvents = 256;
/** Delay before a cache event becomes visible. */
const cacheEventLagMs: Milliseconds = 400;
/** Every event whose sequence number is a multiple of this is dropped. */
const droppedCacheEventInterval = 20;
const millisecondsPerSecond = 1000;
/** Weight of the latest step in the moving average of the token rate. */
const rateSmoothing = 0.05;

/** Returns the token at a position of the answer. Every engine returns the same, which lets tests verify answers. */
export function tokenAt(
  request: Pick<EngineRequest, "model" | "prompt">,
  position: number,
): string {
  const model = request.model.slice(0, request.model.lastIndexOf("@"));
  return ` t${hash32(`${model}/${request.prompt}/${position}`) % 9973}`;
}

/** Returns the number of tokens of the complete answer; the same for every engine. */
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

/** Runs the requests of one engine incarnation. */
export interface EngineBatch {
  /** Queues a request; its stream can be read from then on. */
  start(attempt: string, request: EngineRequest, accelerator: number): void;
  /** Returns the stream from a token position on, or undefined if the attempt is unknown. */
  readStream(attempt: string, from: number): AsyncIterable<BodyPart> | undefined;
  cancel(attempt: string): void;
  /** Whether a queued or running request uses an artifact on an accelerator. */
  isBusy(artifact: string, accelerator: number): boolean;
  running(): number;
  queued(): number;
  /** Upper bound of the tokens still to generate for queued and running requests. */
  pendingTokens(): number;
  /** Moving average of the token rate. */
  tokensPerSecond(): number;
  /** Visible cache events with a sequence number above `after`. */
  cacheEvents(after: number): readonly CacheEvent[];
  /** Aborts every stream, as when the process crashes. */
  destroy(): void;
}

/** Creates the batch of one engine incarnation; `onChange` is called when a request is queued or has ended. */
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

  /** Updates the prefix cache and returns the prefill time; a cached prefix takes none. */
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

  /** Moves queued requests into free slots and returns their total prefill time. */
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
          reason: "the engine process ended",
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
