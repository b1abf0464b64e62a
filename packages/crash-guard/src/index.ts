/**
 * Keeps requests that end the targets that run them away from further targets: what was lost is weighed by `crash-blame`, and
 * heartbeats and the log carry it to the other boxes.
 */
import {
  type CrashBlame,
  crashBlameName,
  createCrashBlame,
  reportDecisions,
  type RequestAttributes,
  settlingMs,
} from "@linkfall/crash-blame";
import { clockName, type Kernel, serviceName } from "@linkfall/kernel";
import { logWriterName } from "@linkfall/log-writer";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import { targetPortName } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { HeldRequest, Milliseconds, Refusal } from "@linkfall/types";

/** The log may be away for so long; heartbeats carry the word meanwhile. */
const keepLimitMs: Milliseconds = 60_000;

/** A request as the guard knows it. */
export interface GuardedRequest {
  readonly attributes: RequestAttributes;
  /** Number of targets that could run it, whether they are open now or not; counted only where something speaks against it. */
  countTargets(): number;
}

/** A target whose answer was lost. */
export interface LostTarget {
  readonly name: string;
  /** `host:port`. */
  readonly address: string;
}

export interface CrashGuard {
  /** Why the request may not run now; undefined where it may. */
  refusal(request: GuardedRequest): Refusal | undefined;
  /** Looks at a target whose answer was lost, and tells whether the request may go on at another one. */
  mayRetryElsewhere(request: GuardedRequest, lost: LostTarget): Promise<boolean>;
  /** Notes that a target answered the request well. */
  recordServed(request: GuardedRequest): void;
}

export const crashGuardName = serviceName<CrashGuard>("crash-guard");

/** Provides what the box knows of such requests, and says in its log what it decides. */
export function provideCrashBlame(kernel: Kernel): CrashBlame {
  const blame = createCrashBlame(kernel.find(clockName));
  const logger = kernel.find(loggerName);
  reportDecisions(blame, { logger, metrics: kernel.find(metricsName) });
  return kernel.provide(crashBlameName, blame);
}

/** Keeps what is decided in the log, from which boxes that start anew learn it. */
export function persistHeldRequests(kernel: Kernel): void {
  const store = kernel.find(stateStoreName);
  const writer = kernel.find(logWriterName);
  const logger = kernel.find(loggerName);
  const blame = kernel.find(crashBlameName);
  const keep = async (word: HeldRequest) => {
    const appended = await writer.append((id) => ({ type: "held", id, word }), keepLimitMs);
    appended.ifLeft(({ kind }) =>
      logger.event("heldNotKept", { fingerprint: word.request, reason: kind }),
    );
  };
  blame.onDecision((word) => void keep(word));
  store.onFold((event) => {
    if (event.type === "request_held") blame.restore(event.word);
  });
  store.onReplace(() => {
    for (const word of store.state().heldRequests.values()) blame.restore(word);
  });
}

/** Creates the guard of one box. */
export function createCrashGuard(kernel: Kernel): CrashGuard {
  const logger = kernel.find(loggerName);
  const ports = kernel.find(targetPortName);
  const blame = kernel.find(crashBlameName);
  return {
    refusal({ attributes: facts, countTargets: targets }) {
      if (blame.isEmpty()) return undefined;
      switch (blame.classify(facts, targets())) {
        case "guilty":
          return notRun("held_back", "targets ended while they ran this request");
        case "unsettled":
          return notRun("held_back", "targets ended under this request", settlingMs);
        default:
          return undefined;
      }
    },
    async mayRetryElsewhere({ attributes: facts, countTargets: targets }, { name, address }) {
      const listening = await ports.probeListener(address);
      logger.event("sendLost", { fingerprint: facts.request, target: name, listening });
      if (listening !== "refuses") return true;
      blame.recordCrash(name, facts);
      const verdict = blame.classify(facts, targets());
      return verdict === "clear" || verdict === "suspect";
    },
    recordServed({ attributes: facts }) {
      if (!blame.isEmpty()) blame.recordServed(facts.request);
    },
  };
}
