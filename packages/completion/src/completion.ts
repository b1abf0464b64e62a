/**
 * Runs completions. An attempt that certainly did not start is retried on another engine; an interrupted stream is
 * resumed on the same engine; only repeatable requests continue on another engine after they may have run.
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
import type { CompletionJob, CompletionResult } from "./job.js";
import { createProgress, type Progress } from "./progress.js";
import { createRetryBudget } from "./retry-budget.js";
import { sharedTraitsOf } from "./shared-traits.js";

/** Route name under which held-back completions are reported to operators. */
const completionsRoute = "completions";
const failureRetryAfterMs: Milliseconds = 1_000;

export interface Completions {
  /** Calls `onToken` with the tokens as they arrive and resolves with the result. */
  run(job: CompletionJob, onToken: TokenHandler): Promise<CompletionResult>;
}

export const completionsName = serviceName<Completions>("completions");

/** Creates the completion service of one box. */
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

  const guardedRequest = (job: CompletionJob): GuardedRequest => {
    const { fingerprint: request, account, model } = job;
    const identity = { request, service: model.pool, route: completionsRoute, account };
    const engines = () => store.desired().enginesByPool.get(model.pool) ?? [];
    return {
      attributes: { ...identity, shared: sharedTraitsOf(job) },
      countTargets: () => engines().length,
      countTargetsInUse: () => engines().filter(({ name }) => load.inFlight(name) > 0).length,
    };
  };

  const recordFailure = (
    progress: Progress,
    replica: Replica,
    result: Exclude<AttemptResult, { kind: "complete" }>,
  ) => {
    progress.failedTargets.add(replica.target);
    if (result.kind === "lost") progress.mayHaveRun = true;
    if (result.kind === "lost" || result.targetFault) load.recordFailure(replica.target);
  };

  /** The refusal if there is no further attempt; undefined if the completion may be retried. */
  const refusalUnlessRetry = (
    job: CompletionJob,
    progress: Progress,
    reason: string,
  ): Refusal | undefined => {
    const refusal = refusalWithoutRetry(job, progress, reason);
    if (job.callerGone.aborted || clock.now() >= job.deadlineAt) return refusal;
    if (progress.mayHaveRun && !job.repeatable) return refusal;
    if (!budget.tryTake(job.account)) return { ...refusal, code: "retry_budget" };
    metrics.count("linkfall_retries_total", "Attempts after the first of each request");
    return undefined;
  };

  const runAttempts = async (
    job: CompletionJob,
    progress: Progress,
    signal: AbortSignal,
    onToken: TokenHandler,
  ): Promise<CompletionResult> => {
    for (;;) {
      const admitted = await admission.admit(job, progress);
      if (admitted.isLeft()) {
        const refusal = admitted.extract() as Refusal;
        return refused(progress.mayHaveRun ? { ...refusal, outcome: "failed" } : refusal);
      }
      const replica = admitted.unsafeCoerce();
      const attempt = `${job.id}~${++attempts}`;
      const result = await runAttempt({ job, progress, replica, attempt, signal, onToken });
      if (result.kind === "complete") {
        admission.recordOutputLength(job, progress.nextPosition);
        guard.recordServed(guardedRequest(job));
        return { kind: "answered" };
      }
      recordFailure(progress, replica, result);
      const { target: name, address } = replica;
      // Each further engine that the request crashes also fails all other requests running there.
      const mayRetry =
        result.kind !== "lost" ||
        (await guard.mayRetryElsewhere(guardedRequest(job), { name, address }));
      if (!mayRetry) return refused(refusalWithoutRetry(job, progress, result.reason));
      const refusal = refusalUnlessRetry(job, progress, result.reason);
      if (refusal) return refused(refusal);
    }
  };

  return {
    async run(job, onToken) {
      const refusal = guard.refusal(guardedRequest(job));
      if (refusal) return refused(refusal);
      budget.recordRequest(job.account);
      const progress = createProgress();
      const abortController = new AbortController();
      const onCallerGone = () => abortController.abort();
      job.callerGone.addEventListener("abort", onCallerGone, { once: true });
      const cancelDeadline = clock.after(job.deadlineAt - clock.now(), () =>
        abortController.abort(),
      );
      const result = await runAttempts(job, progress, abortController.signal, onToken);
      cancelDeadline();
      job.callerGone.removeEventListener("abort", onCallerGone);
      return clock.now() >= job.deadlineAt ? withDeadlineReason(result) : result;
    },
  };
}

function refused(refusal: Refusal): CompletionResult {
  return { kind: "refused", refusal };
}

/** The refusal that the caller gets if no further attempt is made. */
function refusalWithoutRetry(job: CompletionJob, progress: Progress, reason: string): Refusal {
  if (!progress.mayHaveRun) return notRun("target_refused", reason, failureRetryAfterMs);
  if (!job.repeatable) return outcomeUnknown("target_lost", reason);
  return failed("target_lost", reason, failureRetryAfterMs);
}

/** Replaces the reason of a refusal by the passed deadline that caused it. */
function withDeadlineReason(result: CompletionResult): CompletionResult {
  if (result.kind === "answered") return result;
  const { outcome } = result.refusal;
  return refused({ outcome, code: "deadline_passed", reason: "the deadline has passed" });
}
