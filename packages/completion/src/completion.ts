/**
 * Runs one completion to its end. A failure that provably came before the start is tried elsewhere;
 * a broken stream is resumed on the same engine; only a repeatable request goes on elsewhere.
 */
import { settingsName } from "@linkfall/config";
import { crashGuardName, type GuardedRequest } from "@linkfall/crash-guard";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { metricsName } from "@linkfall/metrics";
import { failed, notRun, outcomeUnknown } from "@linkfall/refusals";
import type { Replica } from "@linkfall/replicas";
import { stateStoreName } from "@linkfall/state-store";
import { targetLoadName } from "@linkfall/target-load";
import type { Milliseconds, Refusal } from "@linkfall/types";
import { createAdmission } from "./admission.js";
import { type AttemptEnd, createRunAttempt } from "./attempt.js";
import type { TakeToken } from "./engine-stream.js";
import type { CompletionEnd, CompletionJob } from "./job.js";
import { noProgress, type Progress } from "./progress.js";
import { createRetryBudget } from "./retry-budget.js";

/** Route of completions, as operators are told of requests that are held back. */
const completionsRoute = "completions";
const afterFailureRetryMs: Milliseconds = 1_000;

export interface Completions {
  /** Hands the tokens of the answer on as they come and resolves with how it ended. */
  run(job: CompletionJob, take: TakeToken): Promise<CompletionEnd>;
}

export const completionsName = serviceName<Completions>("completions");

/** Creates the completions of one box. */
export function createCompletions(kernel: Kernel): Completions {
  const clock = kernel.find(clockName);
  const metrics = kernel.find(metricsName);
  const load = kernel.find(targetLoadName);
  const admission = createAdmission(kernel);
  const runAttempt = createRunAttempt(kernel);
  const budget = createRetryBudget(clock, kernel.find(settingsName).targets.retry_share);
  const guard = kernel.find(crashGuardName);
  const store = kernel.find(stateStoreName);
  let attempts = 0;

  const guarded = ({ fingerprint, account, model }: CompletionJob): GuardedRequest => {
    const facts = { request: fingerprint, service: model.pool, route: completionsRoute, account };
    const engines = () => [...store.desired().engines.values()];
    return {
      attributes: facts,
      countTargets: () => engines().filter(({ pool }) => pool === model.pool).length,
    };
  };

  const noteFailure = (
    progress: Progress,
    replica: Replica,
    end: Exclude<AttemptEnd, { kind: "complete" }>,
  ) => {
    progress.failedTargets.add(replica.target);
    if (end.kind === "lost") progress.mayHaveRun = true;
    if (end.kind === "lost" || end.targetFault) load.failed(replica.target);
  };

  /** Why there is no further attempt; undefined when there may be one. */
  const whyStop = (job: CompletionJob, progress: Progress, reason: string): Refusal | undefined => {
    const refusal = refusalAfter(job, progress, reason);
    if (job.gone.aborted || clock.now() >= job.deadlineAt) return refusal;
    if (progress.mayHaveRun && !job.repeatable) return refusal;
    if (!budget.retry(job.account)) return { ...refusal, code: "retry_budget" };
    metrics.count("linkfall_retries_total", "Attempts after the first");
    return undefined;
  };

  const runAttempts = async (
    job: CompletionJob,
    progress: Progress,
    signal: AbortSignal,
    take: TakeToken,
  ): Promise<CompletionEnd> => {
    for (;;) {
      const admitted = await admission.admit(job, progress);
      if (admitted.isLeft()) {
        const refusal = admitted.extract() as Refusal;
        return refused(progress.mayHaveRun ? { ...refusal, outcome: "failed" } : refusal);
      }
      const replica = admitted.unsafeCoerce();
      const attempt = `${job.id}~${++attempts}`;
      const end = await runAttempt({ job, progress, replica, attempt, signal, take });
      if (end.kind === "complete") {
        admission.learn(job, progress.next);
        guard.recordServed(guarded(job));
        return { kind: "answered" };
      }
      noteFailure(progress, replica, end);
      const { target: name, address } = replica;
      // A further engine that the request ends would take all requests at work there with it.
      const mayGoOn =
        end.kind !== "lost" || (await guard.mayRetryElsewhere(guarded(job), { name, address }));
      if (!mayGoOn) return refused(refusalAfter(job, progress, end.reason));
      const refusal = whyStop(job, progress, end.reason);
      if (refusal) return refused(refusal);
    }
  };

  return {
    async run(job, take) {
      const heldBack = guard.refusal(guarded(job));
      if (heldBack) return refused(heldBack);
      budget.request(job.account);
      const progress = noProgress();
      const giveUp = new AbortController();
      const onGone = () => giveUp.abort();
      job.gone.addEventListener("abort", onGone, { once: true });
      const cancelDeadline = clock.after(job.deadlineAt - clock.now(), () => giveUp.abort());
      const end = await runAttempts(job, progress, giveUp.signal, take);
      cancelDeadline();
      job.gone.removeEventListener("abort", onGone);
      return clock.now() >= job.deadlineAt ? pastDeadline(end) : end;
    },
  };
}

function refused(refusal: Refusal): CompletionEnd {
  return { kind: "refused", refusal };
}

/** What the caller is told when no further attempt is made. */
function refusalAfter(job: CompletionJob, progress: Progress, reason: string): Refusal {
  if (!progress.mayHaveRun) return notRun("target_refused", reason, afterFailureRetryMs);
  if (!job.repeatable) return outcomeUnknown("target_lost", reason);
  return failed("target_lost", reason, afterFailureRetryMs);
}

/** Names the deadline as the cause of an end that it brought about. */
function pastDeadline(end: CompletionEnd): CompletionEnd {
  if (end.kind === "answered") return end;
  const { outcome } = end.refusal;
  return refused({ outcome, code: "deadline_passed", reason: "the deadline has passed" });
}
