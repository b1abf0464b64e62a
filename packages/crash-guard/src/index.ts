/**
 * Keeps requests that crash their targets away from further targets. Crashes are judged by `crash-blame` and shared with
 * other boxes through heartbeats and the log.
 */
import {
  type CrashBlame,
  crashBlameName,
  createCrashBlame,
  describeCause,
  reportDecisions,
  type RequestAttributes,
  settlingMs,
} from "@linkfall/crash-blame";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { incarnationName, logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import { targetPortName } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { HeldRequest, Milliseconds, Refusal } from "@linkfall/types";

/** Time limit for appending a decision to an unreachable log; heartbeats distribute it in the meantime. */
const appendTimeoutMs: Milliseconds = 60_000;

export interface GuardedRequest {
  readonly attributes: RequestAttributes;
  /** Number of targets that could run the request, available or not; only called if crashes or held requests are recorded. */
  countTargets(): number;
  /** Number of those targets that are running requests of this box; only called after a lost response. */
  countTargetsInUse(): number;
}

/** A target whose response was lost. */
export interface LostTarget {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
}

export interface CrashGuard {
  /** Returns why the request must not run now; undefined if it may run. */
  refusal(request: GuardedRequest): Refusal | undefined;
  /** Checks whether a target whose response was lost has crashed, and whether the request may be retried at another. */
  mayRetryElsewhere(request: GuardedRequest, lost: LostTarget): Promise<boolean>;
  /** Records that a target served the request successfully. */
  recordServed(request: GuardedRequest): void;
}

export const crashGuardName = serviceName<CrashGuard>("crash-guard");

/** Creates and registers the crash records of the box, and reports their decisions to the log and the metrics. */
export function provideCrashBlame(kernel: Kernel): CrashBlame {
  const blame = createCrashBlame(kernel.find(clockName), kernel.find(incarnationName));
  const logger = kernel.find(loggerName);
  reportDecisions(blame, { logger, metrics: kernel.find(metricsName) });
  return kernel.provide(crashBlameName, blame);
}

/** Appends this box's decisions to the log, and restores decisions from it. */
export function persistHeldRequests(kernel: Kernel): void {
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const blame = kernel.find(crashBlameName);
  const append = async (heldRequest: HeldRequest) => {
    const appended = await writer.append(
      (id) => ({ type: "held", id, word: heldRequest }),
      appendTimeoutMs,
    );
    appended.ifLeft(({ kind }) =>
      logger.event("heldNotKept", { fingerprint: heldRequest.request, reason: kind }),
    );
  };
  blame.onDecision((heldRequest) => void append(heldRequest));
  store.onFold((event) => {
    if (event.type === "request_held") blame.restore(event.word);
  });
  store.onReplace(() => {
    for (const heldRequest of store.state().heldRequests.values()) blame.restore(heldRequest);
  });
}

/** Creates the guard of one box. */
export function createCrashGuard(kernel: Kernel): CrashGuard {
  const logger = kernel.find(loggerName);
  const ports = kernel.find(targetPortName);
  const blame = kernel.find(crashBlameName);
  return {
    refusal({ attributes, countTargets }) {
      if (blame.isEmpty()) return undefined;
      const { verdict, kind } = blame.classify(attributes, countTargets());
      switch (verdict) {
        case "guilty":
          return notRun("held_back", `targets crashed while running ${describeCause(kind)}`);
        case "unsettled":
          return notRun(
            "held_back",
            `targets crashed while running ${describeCause(kind)}; the cause is not established yet`,
            settlingMs,
          );
        default:
          return undefined;
      }
    },
    async mayRetryElsewhere({ attributes, countTargets, countTargetsInUse }, { name, address }) {
      // Counted before the probe, in which other requests of targets that crash together end.
      const targetsInUse = countTargetsInUse();
      const listening = await ports.probeListener(address);
      const { request: fingerprint, shared = [] } = attributes;
      const traits = shared.map(({ kind, text }) => `${kind} ${text}`).join(", ");
      logger.event("sendLost", { fingerprint, target: name, listening, shared: traits });
      if (listening !== "refuses") return true;
      blame.recordCrash(name, attributes, { targetsInUse });
      const { verdict } = blame.classify(attributes, countTargets());
      return verdict === "clear" || verdict === "suspect";
    },
    recordServed({ attributes }) {
      blame.recordServed(attributes);
    },
  };
}
