/** `POST /v1/completions` in the usual OpenAI-compatible shape. */
import {
  type CompletionEnd,
  type CompletionJob,
  completionsName,
  type CompletionToken,
} from "@linkfall/completion";
import type { TargetUnreachable } from "@linkfall/errors";
import { clockName, type Kernel } from "@linkfall/kernel";
import { incarnationName } from "@linkfall/log-writer";
import type { BodyPart, CallerResponse } from "@linkfall/ports";
import { jsonResponse, notRun, refusalBody, refusalResponse } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, Adapter, Model, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import type { RequestTerms } from "./request-terms.js";

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
    terms: RequestTerms,
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

  type Tokens = AsyncGenerator<CompletionToken, CompletionEnd>;
  type FirstRead = IteratorResult<CompletionToken, CompletionEnd>;

  async function* streamed(
    job: CompletionJob,
    name: string,
    tokens: Tokens,
    first: FirstRead,
  ): AsyncGenerator<BodyPart> {
    try {
      let read = first;
      for (; !read.done; read = await tokens.next()) {
        yield Right(Buffer.from(chunkOf(job.id, name, read.value)));
      }
      if (read.value.kind === "answered") {
        yield Right(Buffer.from("data: [DONE]\n\n"));
        return;
      }
      // The caller must not take a fragment for an answer: an error event, then a cut connection.
      const body = refusalBody(read.value.refusal);
      yield Right(Buffer.from(`event: error\ndata: ${body}\n\n`));
      yield Left<TargetUnreachable>({
        kind: "target_unreachable",
        reason: read.value.refusal.reason,
        mayHaveArrived: true,
      });
    } finally {
      await tokens.return({ kind: "answered" });
    }
  }

  const gathered = async (
    job: CompletionJob,
    name: string,
    tokens: Tokens,
  ): Promise<CallerResponse> => {
    let text = "";
    let count = 0;
    let finishReason: string | undefined;
    for (;;) {
      const read = await tokens.next();
      if (read.done) {
        if (read.value.kind === "refused") return refusalResponse(read.value.refusal);
        const choice = { index: 0, text, finish_reason: finishReason ?? "stop" };
        const usage = { completion_tokens: count };
        return jsonResponse({
          id: job.id,
          object: "text_completion",
          model: name,
          choices: [choice],
          usage,
        });
      }
      text += read.value.text;
      count += 1;
      finishReason = read.value.finishReason ?? finishReason;
    }
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
        model,
        adapter,
        prompt: body.prompt,
        maxTokens: body.max_tokens,
        priority: terms.priority,
        deadlineAt: clock.now() + terms.deadlineMs,
        repeatable: terms.repeatable ?? true,
        gone,
      };
      const tokens = completions.run(job);
      if (!body.stream) return gathered(job, body.model, tokens);
      // The head is sent once the first token is there, so a refusal before it has its own status.
      const first = await tokens.next();
      if (first.done && first.value.kind === "refused") {
        return refusalResponse(first.value.refusal);
      }
      return {
        status: 200,
        headers: { "content-type": "text/event-stream", "linkfall-outcome": "answered" },
        body: streamed(job, body.model, tokens, first),
      };
    },
  };
}
