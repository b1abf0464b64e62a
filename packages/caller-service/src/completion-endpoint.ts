/** `POST /v1/completions`, compatible with the OpenAI API. */
import {
  type CompletionResult,
  type CompletionJob,
  completionsName,
  type CompletionToken,
} from "@linkfall/completion";
import type { TargetUnreachable } from "@linkfall/errors";
import { clockName, type Kernel } from "@linkfall/kernel";
import { incarnationName } from "@linkfall/log-writer";
import type { BodyPart, CallerResponse } from "@linkfall/ports";
import { fingerprintOf } from "@linkfall/request-fingerprint";
import { jsonResponse, notRun, refusalBody, refusalResponse } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, Adapter, Model, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { createChunkQueue } from "./chunk-queue.js";
import type { RequestOptions } from "./request-options.js";

const completionsPath = "/v1/completions";
const defaultMaxTokens = 128;
const maxTokensLimit = 100_000;

const bodySchema = z.object({
  model: z.string().min(1).max(128),
  prompt: z.string(),
  max_tokens: z.number().int().min(1).max(maxTokensLimit).default(defaultMaxTokens),
  stream: z.boolean().default(false),
});
type CompletionBody = z.infer<typeof bodySchema>;

/** A validated completion request. */
export interface CompletionCall {
  readonly body: CompletionBody;
  readonly model: Model;
  readonly adapter?: Adapter;
}

export interface CompletionEndpoint {
  /** Validates the body, and that the account may use the model or adapter. */
  check(account: Account, body: Uint8Array): Either<Refusal, CompletionCall>;
  run(
    account: Account,
    call: CompletionCall,
    options: RequestOptions,
    signal: AbortSignal,
  ): Promise<CallerResponse>;
}

function parseBody(body: Uint8Array): Either<Refusal, CompletionBody> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return Left(notRun("bad_request", "the body is not JSON"));
  }
  const checked = bodySchema.safeParse(value);
  if (checked.success) return Right(checked.data);
  const [issue] = checked.error.issues;
  return Left(notRun("bad_request", `${issue.path.join(".") || "body"}: ${issue.message}`));
}

function formatChunk(id: string, model: string, token: CompletionToken): string {
  const choice = { index: 0, text: token.text, finish_reason: token.finishReason ?? null };
  const chunk = { id, object: "text_completion", model, choices: [choice] };
  return `id: ${token.position}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/**
 * Parts sent after the last token: the end marker, or an error event and an abort of the connection,
 * which lets callers detect a truncated response.
 */
function finalParts(end: CompletionResult): readonly BodyPart[] {
  if (end.kind === "answered") return [Right(Buffer.from("data: [DONE]\n\n"))];
  const truncation: TargetUnreachable = {
    kind: "target_unreachable",
    reason: end.refusal.reason,
    mayHaveArrived: true,
  };
  return [
    Right(Buffer.from(`event: error\ndata: ${refusalBody(end.refusal)}\n\n`)),
    Left(truncation),
  ];
}

/** Creates the completion endpoint of this box. */
export function createCompletionEndpoint(kernel: Kernel): CompletionEndpoint {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const completions = kernel.find(completionsName);
  const incarnation = kernel.find(incarnationName);
  let requestCount = 0;

  const modelNotFound = () => notRun("unknown_model", "no such model for this account");

  /** Resolves a model or adapter. Those of other accounts are reported as not found. */
  const resolveModel = (
    account: Account,
    name: string,
  ): Either<Refusal, Pick<CompletionCall, "model" | "adapter">> => {
    const desired = store.desired();
    const adapter = desired.adapters.get(name);
    const model = desired.models.get(adapter?.model ?? name);
    const owner = adapter ?? model;
    if (!model || !owner?.accounts.includes(account.name)) return Left(modelNotFound());
    return Right({ model, adapter });
  };

  const collectResponse = async (job: CompletionJob, name: string): Promise<CallerResponse> => {
    let text = "";
    let count = 0;
    let finishReason = "stop";
    const end = await completions.run(job, (token) => {
      text += token.text;
      count += 1;
      finishReason = token.finishReason ?? finishReason;
    });
    if (end.kind === "refused") return refusalResponse(end.refusal);
    const choices = [{ index: 0, text, finish_reason: finishReason }];
    const usage = { completion_tokens: count };
    return jsonResponse({ id: job.id, object: "text_completion", model: name, choices, usage });
  };

  /** Waits for the first token before the headers are sent: an earlier refusal has its own status. */
  const streamResponse = async (job: CompletionJob, name: string): Promise<CallerResponse> => {
    const controller = new AbortController();
    const onAbort = () => controller.abort();
    job.callerGone.addEventListener("abort", onAbort, { once: true });
    const parts = createChunkQueue(() => controller.abort());
    const running = completions.run({ ...job, callerGone: controller.signal }, (token) =>
      parts.push(Right(Buffer.from(formatChunk(job.id, name, token)))),
    );
    const ended = running.then((end) => {
      job.callerGone.removeEventListener("abort", onAbort);
      for (const part of finalParts(end)) void parts.push(part);
      parts.end();
      return end;
    });
    const first = await Promise.race([parts.firstPartAdded, ended]);
    if (first?.kind === "refused") return refusalResponse(first.refusal);
    return {
      status: 200,
      headers: { "content-type": "text/event-stream", "linkfall-outcome": "answered" },
      body: parts.read(),
    };
  };

  return {
    check: (account, body) =>
      parseBody(body).chain((parsed) =>
        resolveModel(account, parsed.model).map((found) => ({ body: parsed, ...found })),
      ),
    async run(account, call, options, signal) {
      const { body, model, adapter } = call;
      const job: CompletionJob = {
        id: `${incarnation}-${++requestCount}`,
        account: account.name,
        fingerprint: fingerprintOf({
          account: account.name,
          method: "POST",
          host: "",
          path: completionsPath,
          body: Buffer.from(JSON.stringify(body)),
        }),
        model,
        adapter,
        prompt: body.prompt,
        maxTokens: body.max_tokens,
        priority: options.priority,
        deadlineAt: clock.now() + options.deadlineMs,
        repeatable: options.repeatable ?? true,
        callerGone: signal,
      };
      return body.stream ? streamResponse(job, body.model) : collectResponse(job, body.model);
    },
  };
}
