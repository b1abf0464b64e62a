/**
 * Judges whether this box has lost its links to all targets. Failed connections to several targets raise a suspicion, which
 * connections to other targets drop or confirm. If no target is reached, other boxes decide: if one of them reaches targets,
 * this box is cut off; otherwise the targets are down.
 */
import { clockName, type Kernel, randomName, sleep } from "@linkfall/kernel";
import { loggerName } from "@linkfall/logger";
import { metricsName } from "@linkfall/metrics";
import type { Milliseconds } from "@linkfall/types";
import type { ReachOptions, ReachPorts, TargetReach } from "./contract.js";
import { createEvidence } from "./evidence.js";
import { createLinkChecks } from "./link-checks.js";

export const defaultReachOptions: ReachOptions = {
  checkRounds: [3, 9],
  confirmMs: 100,
  pauseMs: 200,
  probeIntervalMs: 250,
  flapWindowMs: 10_000,
  maxReturnRounds: 8,
};

/** Fraction of the probe interval by which intervals vary, which keeps boxes from probing together. */
const probeJitter = 0.4;
/** Targets that are checked at once before a return. */
const returnCheckSize = 9;
/** Maximum number of names in a log field. */
const maxLoggedNames = 12;
const dropsMetric = "linkfall_target_reach_suspicions_dropped_total";
const dropsHelp =
  "Suspicions that this box is cut off from all targets, dropped as a target was reached.";

/**
 * `reaching`: nothing speaks against reaching targets. `checking`: other targets are being checked. `confirming`: none was
 * reached, and other boxes are told. `unreachable`: judged.
 */
type Phase = "reaching" | "checking" | "confirming" | "unreachable";

const joinNames = (names: Iterable<string>) => [...names].slice(0, maxLoggedNames).join(", ");

/** Creates a judgement that takes the box for reaching targets until connections fail. */
export function createTargetReach(
  kernel: Kernel,
  ports: ReachPorts,
  options: ReachOptions = defaultReachOptions,
): TargetReach {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const logger = kernel.find(loggerName);
  const metrics = kernel.find(metricsName);
  const checks = createLinkChecks(random, ports.isListening);
  const evidence = createEvidence(clock);
  const cutListeners: ((isCutOff: boolean, since: Milliseconds) => void)[] = [];
  const reachListeners: ((reachesTargets: boolean) => void)[] = [];

  let phase: Phase = "reaching";
  let stopped = false;
  let settled: Promise<void> = Promise.resolve();
  /** Ends a check early because a connection was established. */
  let interruptCheck: () => void = () => undefined;
  let pausedUntil = -Infinity;
  let isResumeScheduled = false;
  /** Whether this box is cut off; undefined until other boxes have been asked. */
  let cutOff: boolean | undefined;
  let cutSince: Milliseconds = 0;
  let decidedBy = { failed: "", checked: "" };
  /** Targets reached since the last round of a return. */
  const reached = new Set<string>();
  /** Number of the confirmation in progress. */
  let confirmation = 0;
  let isReturnChecked = false;
  let goodRounds = 0;
  let neededRounds = 1;
  let lastReturnAt = -Infinity;
  /** Targets probed last, which are avoided by the next probe. */
  const probed = new Set<string>();

  const reachesTargets = () => phase === "reaching" || phase === "checking";

  const setCutOff = (next: boolean) => {
    const before = cutOff;
    if (before === next) return;
    cutOff = next;
    if (next) {
      const relaying = joinNames(ports.relayingBoxes());
      logger.event("boxCutOffFromTargets", { ...decidedBy, relaying });
    } else if (phase === "unreachable") {
      logger.event("noTargetReachable", decidedBy);
    }
    if (before === true || next) for (const listener of cutListeners) listener(next, cutSince);
  };

  const reassess = () => {
    if (phase === "unreachable") setCutOff(ports.relayingBoxes().length > 0);
  };

  const handleReturn = () => {
    phase = "reaching";
    evidence.recordConnected();
    lastReturnAt = clock.now();
    const afterMs = Math.round(lastReturnAt - cutSince);
    logger.event("boxReachesTargetsAgain", {
      afterMs,
      wasCutOff: cutOff === true,
      targets: joinNames(reached),
    });
    setCutOff(false);
    cutOff = undefined;
    for (const listener of reachListeners) listener(true);
  };

  /** Returns once enough targets are reached in enough rounds in a row. */
  const checkReturn = async () => {
    if (isReturnChecked) return;
    isReturnChecked = true;
    const { listening } = await checks.countListening(ports.targets(), returnCheckSize, reached, 1);
    isReturnChecked = false;
    for (const id of listening) reached.add(id);
    if (reachesTargets()) return;
    goodRounds = reached.size > 0 ? goodRounds + 1 : 0;
    if (goodRounds >= neededRounds) handleReturn();
    reached.clear();
  };

  /** Drops an outcome of which other boxes are being told. */
  const withdraw = () => {
    phase = "reaching";
    confirmation += 1;
    pausedUntil = clock.now() + options.pauseMs;
    for (const listener of reachListeners) listener(true);
  };

  const recordConnected = (target: string) => {
    evidence.recordConnected();
    interruptCheck();
    if (reachesTargets()) return;
    if (phase === "confirming") return withdraw();
    reached.add(target);
    if (goodRounds === 0) void checkReturn();
  };

  const probe = async () => {
    const targets = ports.targets();
    if (probed.size >= targets.length) probed.clear();
    const { checked, listening } = await checks.countListening(targets, 1, probed, 1);
    for (const id of checked) probed.add(id);
    if (phase !== "unreachable" || stopped) return;
    if (listening.length === 0) goodRounds = 0;
    for (const id of listening) reached.add(id);
    if (listening.length > 0) await checkReturn();
  };

  const scheduleProbe = () => {
    if (reachesTargets() || stopped) return;
    const jitter = 1 + probeJitter * (random.nextFloat() - 0.5);
    clock.after(options.probeIntervalMs * jitter, () => {
      if (reachesTargets() || stopped) return;
      if (phase === "confirming") return scheduleProbe();
      reassess();
      void probe().then(scheduleProbe);
    });
  };

  /** Handles a check in which no target was reached. */
  const handleUnreachable = async (checked: readonly string[]) => {
    phase = "confirming";
    confirmation += 1;
    const started = confirmation;
    const failures = [...evidence.failures()].map(([target, reason]) => `${target} (${reason})`);
    decidedBy = { failed: joinNames(failures), checked: joinNames(checked) };
    const flaps = clock.now() - lastReturnAt < options.flapWindowMs;
    neededRounds = flaps ? Math.min(options.maxReturnRounds, neededRounds * 2) : 1;
    goodRounds = 0;
    reached.clear();
    for (const listener of reachListeners) listener(false);
    scheduleProbe();
    if (ports.relayingBoxes().length > 0) await sleep(clock, options.confirmMs);
    if (started !== confirmation) return;
    phase = "unreachable";
    reassess();
  };

  const handleReached = (wasSuspected: boolean) => {
    phase = "reaching";
    evidence.recordConnected();
    pausedUntil = clock.now() + options.pauseMs;
    if (wasSuspected) metrics.count(dropsMetric, dropsHelp);
  };

  const runCheck = async (wasSuspected: boolean) => {
    const checked = new Set<string>();
    let isReached = false;
    const interrupted = new Promise<void>((resolve) => {
      interruptCheck = () => {
        isReached = true;
        resolve();
      };
    });
    const failed = new Set(evidence.failures().keys());
    for (const count of options.checkRounds) {
      const targets = ports.targets().filter(({ id }) => !checked.has(id));
      if (targets.length === 0) break;
      const round = checks.countListening(targets, count, failed, 1).then((result) => {
        for (const id of result.checked) checked.add(id);
        if (result.listening.length > 0) isReached = true;
      });
      await Promise.race([round, interrupted]);
      if (isReached) return handleReached(wasSuspected);
    }
    await handleUnreachable([...checked]);
  };

  const beginCheck = (wasSuspected: boolean) => {
    phase = "checking";
    cutSince = evidence.since() ?? clock.now();
    settled = runCheck(wasSuspected);
  };

  const considerSuspicion = () => {
    if (phase !== "reaching" || stopped || !evidence.suffices(ports.targets())) return;
    const pauseMs = pausedUntil - clock.now();
    if (pauseMs <= 0) return beginCheck(true);
    if (isResumeScheduled) return;
    isResumeScheduled = true;
    clock.after(pauseMs, () => {
      isResumeScheduled = false;
      considerSuspicion();
    });
  };

  return {
    recordConnected,
    recordConnectFailure(target, reason) {
      evidence.recordFailure(target, reason);
      considerSuspicion();
    },
    isCutOff: () => cutOff === true,
    reachesTargets,
    suspectedSince: () => (phase === "reaching" ? evidence.since() : cutSince),
    whenSettled: () => settled,
    verify(maxAgeMs = 0) {
      const isFresh = maxAgeMs > 0 && clock.now() - evidence.lastConnectedAt() <= maxAgeMs;
      const isNeeded = phase === "reaching" && !isFresh && !stopped;
      if (isNeeded && ports.targets().length > 0) beginCheck(false);
      return settled;
    },
    reassess,
    onChange: (listener) => void cutListeners.push(listener),
    onReachChange: (listener) => void reachListeners.push(listener),
    async stop() {
      stopped = true;
    },
  };
}
