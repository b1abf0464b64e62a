/** Admission of completions: chooses a replica that can meet the deadline, or refuses early. */
import { settingsName } from "@linkfall/config";
import { clockName, type Kernel, randomName, sleep } from "@linkfall/kernel";
import { notRun } from "@linkfall/refusals";
import { type Replica, replicaFinderName } from "@linkfall/replicas";
import { chooseTarget, estimateRunMs } from "@linkfall/routing";
import { targetLoadName } from "@linkfall/target-load";
import type { Milliseconds, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";
import type { CompletionJob } from "./job.js";
import type { Progress } from "./progress.js";

const replicaPollMs: Milliseconds = 100;
/** Retry-After while no replica is ready or being loaded. */
const noReplicaRetryAfterMs: Milliseconds = 3_000;
const minRetryAfterMs: Milliseconds = 500;
const ratioSmoothing = 0.05;

export interface Admission {
  /** The replica for the next attempt, after waiting for a load in progress if necessary; or the refusal. */
  admit(job: CompletionJob, progress: Progress): Promise<Either<Refusal, Replica>>;
  /** Updates the model's expected output length. */
  recordOutputLength(job: CompletionJob, tokens: number): void;
}

/** Creates the completion admission of one box. */
export function createAdmission(kernel: Kernel): Admission {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const replicas = kernel.find(replicaFinderName);
  const load = kernel.find(targetLoadName);
  const settings = kernel.find(settingsName).routing;
  /** Smoothed ratio of generated tokens to `maxTokens`, by model. */
  const outputRatio = new Map<string, number>();
  let choiceCount = 0;

  const expectedEndMs = (
    job: CompletionJob,
    progress: Progress,
    replica: Replica,
  ): Milliseconds => {
    const ratio = outputRatio.get(job.model.name) ?? 1;
    const tokens = Math.max(1, job.maxTokens * ratio - progress.nextPosition);
    return replica.waitMs + estimateRunMs(tokens, load.streamTokensPerSecond(replica.target));
  };

  const chooseReplica = (job: CompletionJob, candidates: readonly Replica[]): Replica => {
    choiceCount += 1;
    const prefix = job.prompt.slice(0, settings.prefix_bytes);
    return chooseTarget(candidates, {
      policy: settings.policy,
      random,
      turn: choiceCount,
      affinityKey: `${job.account}/${job.model.name}/${prefix}`,
      affinitySlack: settings.affinity_slack,
    });
  };

  const servingReplicas = (job: CompletionJob, progress: Progress) =>
    replicas
      .findServing(job.model, job.adapter)
      .filter((replica) => !progress.failedTargets.has(replica.target));

  /** Waits for a replica only while one is being loaded. */
  const waitForReplicas = async (
    job: CompletionJob,
    progress: Progress,
  ): Promise<readonly Replica[]> => {
    for (;;) {
      const available = servingReplicas(job, progress);
      const canWait = replicas.isLoading(job.model, job.adapter) && !job.callerGone.aborted;
      const inTime = clock.now() + replicaPollMs < job.deadlineAt;
      if (available.length > 0 || !canWait || !inTime) return available;
      await sleep(clock, replicaPollMs);
    }
  };

  const noReplica = (job: CompletionJob, progress: Progress): Refusal =>
    progress.failedTargets.size > 0
      ? notRun("target_refused", "every replica has failed this request", minRetryAfterMs)
      : notRun(
          "no_replica",
          `no replica of ${job.adapter?.name ?? job.model.name} is ready`,
          noReplicaRetryAfterMs,
        );

  return {
    async admit(job, progress) {
      const available = await waitForReplicas(job, progress);
      if (available.length === 0) return Left(noReplica(job, progress));
      const timeLeftMs = job.deadlineAt - clock.now();
      const inTime = available.filter(
        (replica) => expectedEndMs(job, progress, replica) <= timeLeftMs,
      );
      if (inTime.length > 0) {
        const chosen = chooseReplica(job, available);
        return Right(inTime.includes(chosen) ? chosen : chooseReplica(job, inTime));
      }
      const earliestEndMs = Math.min(
        ...available.map((replica) => expectedEndMs(job, progress, replica)),
      );
      const retryAfterMs = Math.max(minRetryAfterMs, earliestEndMs - timeLeftMs);
      return Left(notRun("deadline_unreachable", "no replica can make the deadline", retryAfterMs));
    },
    recordOutputLength(job, tokens) {
      const previous = outputRatio.get(job.model.name) ?? 1;
      const ratio = tokens / job.maxTokens;
      outputRatio.set(job.model.name, previous + ratioSmoothing * (ratio - previous));
    },
  };
}
