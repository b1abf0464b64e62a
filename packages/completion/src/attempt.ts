/** One attempt at one engine, with the resumption of its stream there. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, withTimeout } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { type TargetRequest, targetPortName, type TargetResponse } from "@linkfall/ports";
import type { Replica } from "@linkfall/replicas";
import { targetLoadName } from "@linkfall/target-load";
import {
  attemptHeader,
  notStartedHeader,
  readEngineStream,
  type StreamResult,
  type TokenHandler,
} from "./engine-stream.js";
import type { CompletionJob } from "./job.js";
import type { Progress } from "./progress.js";

const maxResumes = 2;
const okStatus = 200;
/** Status by which an engine refuses for load, which is not its fault. */
const overloadStatus = 503;

/** How one attempt at one engine ended. */
export type AttemptResult =
  | { readonly kind: "complete" }
  /** The engine provably did not start it. */
  | { readonly kind: "not_started"; readonly reason: string; readonly targetFault: boolean }
  /** It may have run, and its stream cannot be had back. */
  | { readonly kind: "lost"; readonly reason: string };

/** What an attempt is made with. */
export interface AttemptInput {
  readonly job: CompletionJob;
  readonly progress: Progress;
  readonly replica: Replica;
  /** Unique for each attempt, so that an answer to an older one is never taken for this one's. */
  readonly attempt: string;
  /** Aborted when the job is given up. */
  readonly signal: AbortSignal;
  /** Takes the tokens as they come. */
  readonly onToken: TokenHandler;
}

export type RunAttempt = (input: AttemptInput) => Promise<AttemptResult>;

function startRequest({ job, progress, replica, attempt }: AttemptInput): TargetRequest {
  const continues = progress.nextPosition > 0;
  const body = {
    request_id: job.id,
    model: replica.artifact,
    adapter: replica.adapterArtifact,
    prompt: job.prompt,
    max_tokens: job.maxTokens,
    priority: job.priority,
    stream: true,
    // The engine's prefix cache must not tell one account what another has asked.
    cache_scope: job.account,
    continue_from: continues ? { text: progress.text, position: progress.nextPosition } : undefined,
  };
  return {
    address: replica.address,
    method: "POST",
    path: "/v1/completions",
    headers: { "content-type": "application/json", [attemptHeader]: attempt },
    body: Buffer.from(JSON.stringify(body)),
    freshConnection: !job.repeatable,
  };
}

function streamRequest(
  input: AttemptInput,
  method: "GET" | "DELETE",
  query: string,
): TargetRequest {
  return {
    address: input.replica.address,
    method,
    path: `/v1/streams/${encodeURIComponent(input.attempt)}${query}`,
    headers: {},
    body: new Uint8Array(),
    freshConnection: method === "GET",
  };
}

function errorStatusResult(response: TargetResponse): AttemptResult {
  const reason = `the engine answered ${response.status}`;
  if (response.headers[notStartedHeader] !== "true") return { kind: "lost", reason };
  return { kind: "not_started", reason, targetFault: response.status !== overloadStatus };
}

/** Creates the function that makes attempts for one box. */
export function createRunAttempt(kernel: Kernel): RunAttempt {
  const clock = kernel.find(clockName);
  const metrics = kernel.find(metricsName);
  const targets = kernel.find(targetPortName);
  const load = kernel.find(targetLoadName);
  const settings = kernel.find(settingsName).targets;

  /** Tells the engine to stop; nobody waits for the answer. */
  const cancel = (input: AttemptInput) => {
    const limit = new AbortController();
    clock.after(settings.call_timeout_ms, () => limit.abort());
    void targets.send(streamRequest(input, "DELETE", ""), limit.signal);
  };

  /** Asks the same engine for the rest of a stream that broke off. */
  const resume = async (input: AttemptInput): Promise<TargetResponse | undefined> => {
    metrics.count("linkfall_stream_resumes_total", "Streams asked for again at the same engine");
    const request = streamRequest(input, "GET", `?from=${input.progress.nextPosition}`);
    const asked = targets.send(request, input.signal);
    const answer = await withTimeout(clock, settings.call_timeout_ms, asked);
    const response = answer?.toMaybe().extract();
    return response?.status === okStatus ? response : undefined;
  };

  /** Passes the tokens of one response on and notes them in the progress. */
  const readTokens = (input: AttemptInput, response: TargetResponse): Promise<StreamResult> => {
    const { progress, attempt } = input;
    const take: TokenHandler = (token) => {
      progress.text += token.text;
      progress.nextPosition += 1;
      return input.onToken(token);
    };
    return readEngineStream(
      clock,
      response,
      attempt,
      progress.nextPosition,
      settings.stall_ms,
      take,
    );
  };

  const readWithResumes = async (
    input: AttemptInput,
    first: TargetResponse,
  ): Promise<AttemptResult> => {
    let response = first;
    for (let tries = 0; ; tries++) {
      const end = await readTokens(input, response);
      if (end.kind === "complete") return end;
      const givenUp = input.signal.aborted || tries >= maxResumes;
      if (end.kind === "garbled" || givenUp) return { kind: "lost", reason: end.reason };
      const resumed = await resume(input);
      if (!resumed) return { kind: "lost", reason: end.reason };
      response = resumed;
    }
  };

  const start = async (input: AttemptInput): Promise<AttemptResult> => {
    const sent = await targets.send(startRequest(input), input.signal);
    const failure = sent.swap().toMaybe().extract();
    if (failure) {
      const { reason, mayHaveArrived } = failure;
      if (mayHaveArrived) return { kind: "lost", reason };
      return { kind: "not_started", reason, targetFault: true };
    }
    const response = sent.unsafeCoerce();
    if (response.status !== okStatus) return errorStatusResult(response);
    return readWithResumes(input, response);
  };

  return async (asked) => {
    const startedAt = clock.now();
    const firstPosition = asked.progress.nextPosition;
    const giveUp = new AbortController();
    const onAbort = () => giveUp.abort();
    asked.signal.addEventListener("abort", onAbort, { once: true });
    const input = { ...asked, signal: giveUp.signal };
    load.requestSent(input.replica.target);
    const end = await start(input);
    const ran = {
      ranMs: clock.now() - startedAt,
      tokens: input.progress.nextPosition - firstPosition,
    };
    load.requestEnded(input.replica.target, end.kind === "complete" ? ran : undefined);
    asked.signal.removeEventListener("abort", onAbort);
    if (end.kind === "lost") {
      giveUp.abort();
      cancel(input);
    }
    return end;
  };
}
