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
import { type AttemptResult, createRunAttempt } from "./attempt.js";
import type { TokenHandler } from "./engine-stream.js";
import type { CompletionResult, CompletionJob } from "./job.js";
import { createProgress, type Progress } from "./progress.js";
import { createRetryBudget } from "./retry-budget.js";

/** Route of completions, as operators are told of requests that are held back. */
const completionsRoute = "completions";
const failureRetryAfterMs: Milliseconds = 1_000;

export interface Completions {
  /** Hands the tokens of the answer on as they come and resolves with how it ended. */
  run(job: CompletionJob, take: TokenHandler): Promise<CompletionResult>;
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

  const guardedRequest = ({ fingerprint, account, model }: CompletionJob): GuardedRequest => {
    const facts = { request: fingerprint, service: model.pool, route: completionsRoute, account };
    const engines = () => [...store.desired().engines.values()];
    return {
      attributes: facts,
      countTargets: () => engines().filter(({ pool }) => pool === model.pool).length,
    };
  };

  const recordFailure = (
    progress: Progress,
    replica: Replica,
    end: Exclude<AttemptResult, { kind: "complete" }>,
  ) => {
    progress.failedTargets.add(replica.target);
    if (end.kind === "lost") progress.mayHaveRun = true;
    if (end.kind === "lost" || end.targetFault) load.recordFailure(replica.target);
  };

  /** Why there is no further attempt; undefined when there may be one. */
  const refusalUnlessRetry = (
    job: CompletionJob,
    progress: Progress,
    reason: string,
  ): Refusal | undefined => {
    const refusal = refusalWithoutRetry(job, progress, reason);
    if (job.callerGone.aborted || clock.now() >= job.deadlineAt) return refusal;
    if (progress.mayHaveRun && !job.repeatable) return refusal;
    if (!budget.tryTake(job.account)) return { ...refusal, code: "retry_budget" };
    metrics.count("linkfall_retries_total", "Attempts after the first");
    return undefined;
  };

  const runAttempts = async (
    job: CompletionJob,
    progress: Progress,
    signal: AbortSignal,
    take: TokenHandler,
  ): Promise<CompletionResult> => {
    for (;;) {
      const admitted = await admission.admit(job, progress);
      if (admitted.isLeft()) {
        const refusal = admitted.extract() as Refusal;
        return refused(progress.mayHaveRun ? { ...refusal, outcome: "failed" } : refusal);
      }
      const replica = admitted.unsafeCoerce();
      const attempt = `${job.id}~${++attempts}`;
      const end = await runAttempt({ job, progress, replica, attempt, signal, onToken: take });
      if (end.kind === "complete") {
        admission.recordOutputLength(job, progress.nextPosition);
        guard.recordServed(guardedRequest(job));
        return { kind: "answered" };
      }
      recordFailure(progress, replica, end);
      const { target: name, address } = replica;
      // A further engine that the request ends would take all requests at work there with it.
      const mayGoOn =
        end.kind !== "lost" ||
        (await guard.mayRetryElsewhere(guardedRequest(job), { name, address }));
      if (!mayGoOn) return refused(refusalWithoutRetry(job, progress, end.reason));
      const refusal = refusalUnlessRetry(job, progress, end.reason);
      if (refusal) return refused(refusal);
    }
  };

  return {
    async run(job, take) {
      const heldBack = guard.refusal(guardedRequest(job));
      if (heldBack) return refused(heldBack);
      budget.recordRequest(job.account);
      const progress = createProgress();
      const giveUp = new AbortController();
      const onGone = () => giveUp.abort();
      job.callerGone.addEventListener("abort", onGone, { once: true });
      const cancelDeadline = clock.after(job.deadlineAt - clock.now(), () => giveUp.abort());
      const end = await runAttempts(job, progress, giveUp.signal, take);
      cancelDeadline();
      job.callerGone.removeEventListener("abort", onGone);
      return clock.now() >= job.deadlineAt ? withDeadlineReason(end) : end;
    },
  };
}

function refused(refusal: Refusal): CompletionResult {
  return { kind: "refused", refusal };
}

/** What the caller is told when no further attempt is made. */
function refusalWithoutRetry(job: CompletionJob, progress: Progress, reason: string): Refusal {
  if (!progress.mayHaveRun) return notRun("target_refused", reason, failureRetryAfterMs);
  if (!job.repeatable) return outcomeUnknown("target_lost", reason);
  return failed("target_lost", reason, failureRetryAfterMs);
}

/** Names the deadline as the cause of an end that it brought about. */
function withDeadlineReason(end: CompletionResult): CompletionResult {
  if (end.kind === "answered") return end;
  const { outcome } = end.refusal;
  return refused({ outcome, code: "deadline_passed", reason: "the deadline has passed" });
}
