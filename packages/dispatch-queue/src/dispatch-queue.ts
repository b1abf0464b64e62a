/** Grants the slots of one service's targets to the requests of all boxes. */
import type { CancelTimer, Clock, Random } from "@linkfall/kernel";
import type { TargetCapacities } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import { type Choices, chooseTarget, findFreeTarget } from "./choose-target.js";
import { createEnginePrefill } from "./engine-prefill.js";
import { findDisplaced, isLateOnArrival, judgeArrival } from "./expected-waits.js";
import { createFairQueue, lateRank, type WaitingRequest } from "./fair-queue.js";
import { createPlaces } from "./places.js";
import { bookRetry } from "./retry-times.js";
import { createServiceTargets } from "./service-capacity.js";
import { summarize } from "./summary.js";
import type { TargetState } from "./target-state.js";
import type {
  DispatchDecision,
  DispatchPrompt,
  DispatchQueue,
  DispatchRequest,
  DispatchRules,
  RejectionReason,
} from "./types.js";

/** Interval of the checks of waiting requests and of running work. */
const tickMs: Milliseconds = 20;
/** Ticks between two scans for expired places, accounts, targets, and those that a request should probe. */
const expiryTicks = 5;
/** Requests that are looked at for a free target which isn't a candidate of all of them. */
const maxSearched = 16;
/** Bound for the memory of waiting requests; admission keeps far fewer. */
const maxWaiting = 1_000;
/** A request is not sent to a target that needs more than the time left by this factor. */
const hopelessFactor = 0.3;
/** Time left within which a waiting request is decided, before its deadline is over. */
const decisionMarginMs: Milliseconds = tickMs + 5;
/** Work for which a caller's objective has to leave room when it returns, so that it still comes first and ends on time. */
const returnWorks = 2;
const defaultPrefixTokens = 60_000;
/** Part of the time left within which an engine's first event must be expected. */
const firstEventShare = 0.9;

export function createDispatchQueue(
  clock: Clock,
  random: Random,
  capacities: TargetCapacities,
  rules: DispatchRules,
): DispatchQueue {
  /** Read once for each call, as many targets and requests are compared in it. */
  let time = clock.now();
  const now = () => time;
  const readClock = () => void (time = clock.now());
  const targets = createServiceTargets(now, capacities);
  const places = createPlaces(now, random, targets, capacities);
  const queue = createFairQueue(rules.accountWeights);
  const prefixTokens = rules.prefixTokens ?? defaultPrefixTokens;
  const engines = createEnginePrefill(now, targets, capacities, prefixTokens);
  const choicesOf = new WeakMap<WaitingRequest, Choices>();
  const rejected: Record<RejectionReason, number> = {
    full: 0,
    displaced: 0,
    late: 0,
    no_target: 0,
  };
  const counts = { granted: 0, expired: 0 };
  /** Decisions that callers are told of once the state is consistent, as they may submit again. */
  const decisions: (() => void)[] = [];
  let isTelling = false;
  let ticks = 0;
  let cancelTick: CancelTimer | undefined;

  const tellDecisions = () => {
    if (isTelling) return;
    isTelling = true;
    for (let tell = decisions.shift(); tell; tell = decisions.shift()) tell();
    isTelling = false;
  };

  const decide = (entry: WaitingRequest, decision: DispatchDecision) => {
    entry.isDecided = true;
    decisions.push(() => entry.decide(decision));
  };

  const reject = (entry: WaitingRequest, reason: RejectionReason, retryAfterMs: Milliseconds) => {
    rejected[reason] += 1;
    entry.account.rejected += 1;
    decide(entry, { kind: "rejected", reason, retryAfterMs: Math.round(retryAfterMs) });
  };

  const grant = (
    entry: WaitingRequest,
    target: TargetState,
    expectedMs: Milliseconds,
    tokens = 0,
  ) => {
    const { request, account } = entry;
    const place = places.grant(request, account.name, target, tokens);
    if (!place) return undefined;
    account.inFlight += 1;
    counts.granted += 1;
    startTicks();
    decide(entry, { kind: "granted", target: target.name, place: place.id, expectedMs });
    return place;
  };

  const grantWaiting = (entry: WaitingRequest, target: TargetState, endMs: Milliseconds) => {
    queue.remove(entry);
    queue.charge(entry);
    grant(entry, target, endMs);
  };

  /** Rejects a waiting request, unless a target is free that may still respond in time. */
  const giveUp = (entry: WaitingRequest, reason: RejectionReason, retryAfterMs: Milliseconds) => {
    const free = choose(entry, true);
    const timeLeftMs = entry.deadlineAt - now();
    if (free && timeLeftMs > hopelessFactor * free.endMs)
      return grantWaiting(entry, free.target, free.endMs);
    queue.remove(entry);
    reject(entry, free ? "late" : reason, retryAfterMs);
  };

  /** Grants free slots in the order of the queue. */
  const grantFree = () => {
    const skipped = new Set<TargetState>();
    while (queue.size() > 0) {
      const [first] = queue.order(1);
      const free = findFreeTarget(targets, first.request.kind, skipped);
      // All that wait end sooner at occupied targets; other free targets are slower still.
      if (!free || queue.size() <= free.passed) return;
      const entry = queue
        .order(free.passed + maxSearched)
        .slice(free.passed)
        .find((waiting) => choicesOf.get(waiting)?.targets.includes(free.target));
      if (entry) grantWaiting(entry, free.target, free.endMs);
      else skipped.add(free.target);
    }
  };

  const choose = (entry: WaitingRequest, onlyFree: boolean) => {
    const choices = choicesOf.get(entry);
    return choices && chooseTarget(targets, choices, onlyFree);
  };

  const retryMs = (entry: WaitingRequest, excessMs: Milliseconds, intervalMs: Milliseconds) => {
    const timeLeftMs = entry.deadlineAt - now();
    const { workMs } = targets.capacity(entry.request.kind);
    const onTimeMs = Math.max(0, entry.objectiveAt - now() - returnWorks * workMs);
    const cause = { excessMs, intervalMs, timeLeftMs, onTimeMs };
    return bookRetry(entry.requestClass, cause, random, now());
  };

  /** Rejects the requests that others have displaced. */
  const rejectDisplaced = (ordered: readonly WaitingRequest[]) => {
    for (const entry of findDisplaced(queue, targets, ordered, now())) {
      const { workMs } = targets.capacity(entry.request.kind);
      giveUp(entry, "displaced", retryMs(entry, workMs, entry.cost));
    }
  };

  const tick = () => {
    cancelTick = undefined;
    readClock();
    ticks += 1;
    places.observeRunning();
    if (ticks % expiryTicks === 0) expire();
    if (queue.size() > 0) {
      grantFree();
      const ordered = queue.order(Infinity);
      for (const entry of ordered) {
        if (entry.deadlineAt - now() <= decisionMarginMs) giveUp(entry, "late", decisionMarginMs);
      }
      rejectDisplaced(ordered.filter(({ isDecided }) => !isDecided));
    }
    if (queue.size() > 0 || places.size() > 0) startTicks();
    tellDecisions();
  };

  const startTicks = () => {
    cancelTick ??= clock.after(tickMs, tick);
  };

  const release = (id: string) => {
    const place = places.end(id, undefined);
    if (!place) return;
    engines.dropped(place);
    queue.account(place.account, now()).inFlight -= 1;
  };

  const expire = () => {
    for (const id of places.expired()) {
      counts.expired += 1;
      release(id);
    }
    queue.expire(now());
    targets.expire();
    targets.markProbes();
    engines.expire();
  };

  const createEntry = (
    request: DispatchRequest,
    tell: (decision: DispatchDecision) => void,
  ): WaitingRequest => {
    const { throughput, workMs } = targets.capacity(request.kind);
    const account = queue.account(request.account ?? "", now());
    const rank = request.priority + (isLateOnArrival(request, workMs) ? lateRank : 0);
    return {
      request,
      decide: tell,
      arrivedAt: now(),
      account,
      deadlineAt: now() + request.timeLeftMs,
      objectiveAt: now() + request.objectiveLeftMs,
      cost: 1 / throughput,
      requestClass: queue.requestClass(account, rank),
      isDecided: false,
    };
  };

  const submitPlain = (entry: WaitingRequest) => {
    entry.requestClass.demand.add(entry.cost, now());
    const isAlone = queue.size() === 0;
    queue.insert(entry);
    const chosen = isAlone ? choose(entry, false) : undefined;
    if (chosen?.hasRoom) return grantWaiting(entry, chosen.target, chosen.endMs);
    if (!isAlone) grantFree();
    if (entry.isDecided) return;
    const ordered = queue.order(Infinity);
    const verdict = judgeArrival(queue, targets, entry, ordered, now());
    if (!verdict.isTooLong && queue.size() <= maxWaiting) {
      // Those behind it are looked at with the next tick, in one pass for all that arrive until then.
      return startTicks();
    }
    giveUp(entry, "full", retryMs(entry, verdict.excessMs, verdict.intervalMs));
  };

  /** When an engine will have read enough: callers are told one after the other, by the time that their prompts take. */
  const submitToEngine = (entry: WaitingRequest, prompt: DispatchPrompt) => {
    const { request } = entry;
    const plan = engines.choose(request, prompt);
    if (!plan) return reject(entry, "no_target", tickMs);
    const inTimeMs = request.timeLeftMs * firstEventShare;
    const isOnTime = request.stream && request.objectiveLeftMs > 0;
    const boundMs = isOnTime ? Math.min(inTimeMs, request.objectiveLeftMs) : inTimeMs;
    const isAccepted = plan.firstMs <= boundMs || (plan.isIdle && plan.firstMs <= inTimeMs);
    if (!isAccepted) {
      const intervalMs = plan.ownReadMs / request.candidates.length;
      return reject(entry, "full", retryMs(entry, plan.firstMs - boundMs, intervalMs));
    }
    const place = grant(entry, plan.target, plan.firstMs, plan.unread);
    if (place) engines.granted(place, prompt, plan.firstMs);
    else reject(entry, "full", tickMs);
  };

  return {
    submit(request, tell) {
      readClock();
      const listed = request.prompt
        ? []
        : request.candidates.map(({ target, slots }) => targets.list(target, slots));
      const entry = createEntry(request, tell);
      choicesOf.set(entry, { request, targets: listed });
      if (request.candidates.length === 0) reject(entry, "no_target", tickMs);
      else if (request.timeLeftMs <= 0) reject(entry, "late", tickMs);
      else if (request.prompt) submitToEngine(entry, request.prompt);
      else submitPlain(entry);
      tellDecisions();
      return () => {
        if (entry.isDecided) return;
        entry.isDecided = true;
        queue.remove(entry);
      };
    },
    firstBytes(id, firstMs) {
      readClock();
      const place = places.get(id);
      if (place && place.tokens > 0) engines.read(place, firstMs);
    },
    end(end) {
      readClock();
      const place = places.get(end.place);
      if (!place) return;
      if (place.tokens > 0) {
        if (end.result === "served") {
          if (place.isStream && end.firstMs !== undefined) engines.read(place, end.firstMs);
          engines.ended(place, end.ms, end.firstMs, end.events ?? 0);
        } else engines.dropped(place);
      }
      places.end(end.place, end);
      if (end.result === "served" && place.tokens === 0)
        targets.observeServed(place.kind, queue.size() > 0);
      queue.account(place.account, now()).inFlight -= 1;
      if (queue.size() > 0) grantFree();
      tellDecisions();
    },
    adopt(loads) {
      readClock();
      for (const [name, load] of loads) {
        const target = targets.get(name) ?? targets.list(name, 1);
        target.adopted = load;
        target.adoptedAt = now();
      }
    },
    dropBox(box) {
      readClock();
      for (const id of places.ofBox(box)) release(id);
      if (queue.size() > 0) grantFree();
      tellDecisions();
    },
    summary() {
      readClock();
      return summarize(queue, targets, places.size(), counts, rejected);
    },
  };
}
