/** Runs one attempt of a completion on one engine and resumes its stream if it breaks off. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, withTimeout } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { targetPortName, type TargetRequest, type TargetResponse } from "@linkfall/ports";
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
/** Status of a refusal for overload, which does not count as a failure of the engine. */
const overloadStatus = 503;

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "complete" }
  /** The engine certainly did not start the attempt. */
  | { readonly kind: "not_started"; readonly reason: string; readonly targetFault: boolean }
  /** The attempt may have run, and its stream cannot be resumed. */
  | { readonly kind: "lost"; readonly reason: string };

/** Inputs of one attempt. */
export interface AttemptInput {
  readonly job: CompletionJob;
  readonly progress: Progress;
  readonly replica: Replica;
  /** Unique id of the attempt, which keeps responses to earlier attempts apart. */
  readonly attempt: string;
  /** Aborted when the job is abandoned. */
  readonly signal: AbortSignal;
  /** Called with each token as it arrives. */
  readonly onToken: TokenHandler;
}

export type RunAttempt = (input: AttemptInput) => Promise<AttemptResult>;

function startRequest({ job, progress, replica, attempt }: AttemptInput): TargetRequest {
  const isContinuation = progress.nextPosition > 0;
  const body = {
    request_id: job.id,
    model: replica.artifact,
    adapter: replica.adapterArtifact,
    prompt: job.prompt,
    max_tokens: job.maxTokens,
    priority: job.priority,
    stream: true,
    // Scopes the engine's prefix cache to the account, so that cache hits do not reveal prompts of other accounts.
    cache_scope: job.account,
    continue_from: isContinuation
      ? { text: progress.text, position: progress.nextPosition }
      : undefined,
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

/** Creates the function that runs attempts for one box. */
export function createRunAttempt(kernel: Kernel): RunAttempt {
  const clock = kernel.find(clockName);
  const metrics = kernel.find(metricsName);
  const targets = kernel.find(targetPortName);
  const load = kernel.find(targetLoadName);
  const settings = kernel.find(settingsName).targets;

  /** Asks the engine to stop the attempt, without waiting for the response. */
  const cancel = (input: AttemptInput) => {
    const timeout = new AbortController();
    clock.after(settings.call_timeout_ms, () => timeout.abort());
    void targets.send(streamRequest(input, "DELETE", ""), timeout.signal);
  };

  /** Requests the rest of an interrupted stream from the same engine. */
  const resume = async (input: AttemptInput): Promise<TargetResponse | undefined> => {
    metrics.count("linkfall_stream_resumes_total", "Streams resumed at the same engine");
    const request = streamRequest(input, "GET", `?from=${input.progress.nextPosition}`);
    const sent = targets.send(request, input.signal);
    const result = await withTimeout(clock, settings.call_timeout_ms, sent);
    const response = result?.toMaybe().extract();
    return response?.status === okStatus ? response : undefined;
  };

  /** Forwards the tokens of one response and records them in the progress. */
  const readTokens = (input: AttemptInput, response: TargetResponse): Promise<StreamResult> => {
    const { progress, attempt } = input;
    const onToken: TokenHandler = (token) => {
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
      onToken,
    );
  };

  const readWithResumes = async (
    input: AttemptInput,
    first: TargetResponse,
  ): Promise<AttemptResult> => {
    let response = first;
    for (let resumes = 0; ; resumes++) {
      const result = await readTokens(input, response);
      if (result.kind === "complete") return result;
      const isAbandoned = input.signal.aborted || resumes >= maxResumes;
      if (result.kind === "garbled" || isAbandoned) return { kind: "lost", reason: result.reason };
      const resumed = await resume(input);
      if (!resumed) return { kind: "lost", reason: result.reason };
      response = resumed;
    }
  };

  const startAttempt = async (input: AttemptInput): Promise<AttemptResult> => {
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

  return async (requested) => {
    const startedAt = clock.now();
    const firstPosition = requested.progress.nextPosition;
    const abortController = new AbortController();
    const onAbort = () => abortController.abort();
    requested.signal.addEventListener("abort", onAbort, { once: true });
    const input = { ...requested, signal: abortController.signal };
    load.requestSent(input.replica.target);
    const result = await startAttempt(input);
    const completed = {
      durationMs: clock.now() - startedAt,
      outputTokens: input.progress.nextPosition - firstPosition,
    };
    load.requestEnded(input.replica.target, result.kind === "complete" ? completed : undefined);
    requested.signal.removeEventListener("abort", onAbort);
    if (result.kind === "lost") {
      abortController.abort();
      cancel(input);
    }
    return result;
  };
}
