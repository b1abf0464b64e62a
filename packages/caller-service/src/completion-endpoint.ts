/** `POST /v1/completions` in the usual OpenAI-compatible shape. */
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
const standardMaxTokens = 128;
const mostTokens = 100_000;

const bodySchema = z.object({
  model: z.string().min(1).max(128),
  prompt: z.string(),
  max_tokens: z.number().int().min(1).max(mostTokens).default(standardMaxTokens),
  stream: z.boolean().default(false),
});
type CompletionBody = z.infer<typeof bodySchema>;

/** A checked completion request. */
export interface CompletionCall {
  readonly body: CompletionBody;
  readonly model: Model;
  readonly adapter?: Adapter;
}

export interface CompletionEndpoint {
  /** Checks the body and that the account may use what it names. */
  check(account: Account, body: Uint8Array): Either<Refusal, CompletionCall>;
  run(
    account: Account,
    call: CompletionCall,
    terms: RequestOptions,
    gone: AbortSignal,
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

function chunkOf(id: string, model: string, token: CompletionToken): string {
  const choice = { index: 0, text: token.text, finish_reason: token.finishReason ?? null };
  const chunk = { id, object: "text_completion", model, choices: [choice] };
  return `id: ${token.position}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/**
 * What follows the last token: the end marker, or an error event and a cut. A caller must not take a
 * fragment for an answer.
 */
function lastParts(end: CompletionResult): readonly BodyPart[] {
  if (end.kind === "answered") return [Right(Buffer.from("data: [DONE]\n\n"))];
  const cut: TargetUnreachable = {
    kind: "target_unreachable",
    reason: end.refusal.reason,
    mayHaveArrived: true,
  };
  return [Right(Buffer.from(`event: error\ndata: ${refusalBody(end.refusal)}\n\n`)), Left(cut)];
}

/** Creates the endpoint of one box. */
export function createCompletionEndpoint(kernel: Kernel): CompletionEndpoint {
  const clock = kernel.find(clockName);
  const store = kernel.find(stateStoreName);
  const completions = kernel.find(completionsName);
  const incarnation = kernel.find(incarnationName);
  let requests = 0;

  const unknownModel = () => notRun("unknown_model", "there is no such model for this account");

  /** A model of another account is as unknown as one that does not exist. */
  const resolve = (
    account: Account,
    name: string,
  ): Either<Refusal, Pick<CompletionCall, "model" | "adapter">> => {
    const desired = store.desired();
    const adapter = desired.adapters.get(name);
    const model = desired.models.get(adapter?.model ?? name);
    const owner = adapter ?? model;
    if (!model || !owner?.accounts.includes(account.name)) return Left(unknownModel());
    return Right({ model, adapter });
  };

  const gathered = async (job: CompletionJob, name: string): Promise<CallerResponse> => {
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

  /** The head is sent once the first token is there, so a refusal before it has its own status. */
  const streamed = async (job: CompletionJob, name: string): Promise<CallerResponse> => {
    const stop = new AbortController();
    const onGone = () => stop.abort();
    job.callerGone.addEventListener("abort", onGone, { once: true });
    const chunks = createChunkQueue(() => stop.abort());
    const running = completions.run({ ...job, callerGone: stop.signal }, (token) =>
      chunks.push(Right(Buffer.from(chunkOf(job.id, name, token)))),
    );
    const ended = running.then((end) => {
      job.callerGone.removeEventListener("abort", onGone);
      for (const part of lastParts(end)) void chunks.push(part);
      chunks.end();
      return end;
    });
    const first = await Promise.race([chunks.firstPartAdded, ended]);
    if (first?.kind === "refused") return refusalResponse(first.refusal);
    return {
      status: 200,
      headers: { "content-type": "text/event-stream", "linkfall-outcome": "answered" },
      body: chunks.read(),
    };
  };

  return {
    check: (account, body) =>
      parseBody(body).chain((parsed) =>
        resolve(account, parsed.model).map((found) => ({ body: parsed, ...found })),
      ),
    async run(account, call, terms, gone) {
      const { body, model, adapter } = call;
      const job: CompletionJob = {
        id: `${incarnation}-${++requests}`,
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
        priority: terms.priority,
        deadlineAt: clock.now() + terms.deadlineMs,
        repeatable: terms.repeatable ?? true,
        callerGone: gone,
      };
      return body.stream ? streamed(job, body.model) : gathered(job, body.model);
    },
  };
}
