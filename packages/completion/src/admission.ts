/** Chooses a replica that can make the deadline, or says at once that none can. */
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
/** When to come back while no replica is ready and none is being loaded. */
const noReplicaRetryAfterMs: Milliseconds = 3_000;
const minRetryAfterMs: Milliseconds = 500;
const ratioSmoothing = 0.05;

export interface Admission {
  /** A replica to try next, waiting for one while it is being loaded; or the refusal. */
  admit(job: CompletionJob, progress: Progress): Promise<Either<Refusal, Replica>>;
  /** Learns how long the answers of a model are. */
  recordOutputLength(job: CompletionJob, tokens: number): void;
}

/** Creates the admission of one box. */
export function createAdmission(kernel: Kernel): Admission {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const replicas = kernel.find(replicaFinderName);
  const load = kernel.find(targetLoadName);
  const settings = kernel.find(settingsName).routing;
  /** Generated tokens as a share of those that were asked for, by model. */
  const outputRatio = new Map<string, number>();
  let turn = 0;

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
    turn += 1;
    const prefix = job.prompt.slice(0, settings.prefix_bytes);
    return chooseTarget(candidates, {
      policy: settings.policy,
      random,
      turn,
      affinityKey: `${job.account}/${job.model.name}/${prefix}`,
      affinitySlack: settings.affinity_slack,
    });
  };

  const serving = (job: CompletionJob, progress: Progress) =>
    replicas
      .findServing(job.model, job.adapter)
      .filter((replica) => !progress.failedTargets.has(replica.target));

  /** Waits only while a copy is seen to be loading; otherwise the refusal comes at once. */
  const waitForServing = async (
    job: CompletionJob,
    progress: Progress,
  ): Promise<readonly Replica[]> => {
    for (;;) {
      const open = serving(job, progress);
      const canWait = replicas.isLoading(job.model, job.adapter) && !job.callerGone.aborted;
      const inTime = clock.now() + replicaPollMs < job.deadlineAt;
      if (open.length > 0 || !canWait || !inTime) return open;
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
      const open = await waitForServing(job, progress);
      if (open.length === 0) return Left(noReplica(job, progress));
      const left = job.deadlineAt - clock.now();
      const inTime = open.filter((replica) => expectedEndMs(job, progress, replica) <= left);
      if (inTime.length > 0) {
        const chosen = chooseReplica(job, open);
        return Right(inTime.includes(chosen) ? chosen : chooseReplica(job, inTime));
      }
      const soonest = Math.min(...open.map((replica) => expectedEndMs(job, progress, replica)));
      const retryAfter = Math.max(minRetryAfterMs, soonest - left);
      return Left(notRun("deadline_unreachable", "no replica can make the deadline", retryAfter));
    },
    recordOutputLength(job, tokens) {
      const before = outputRatio.get(job.model.name) ?? 1;
      const ratio = tokens / job.maxTokens;
      outputRatio.set(job.model.name, before + ratioSmoothing * (ratio - before));
    },
  };
}
