/** Forwards calls to plain services and retries them only if that is safe. */
import { crashGuardName, type GuardedRequest } from "@linkfall/crash-guard";
import type { TargetUnreachable } from "@linkfall/errors";
import { clockName, type Kernel, randomName, serviceName } from "@linkfall/kernel";
import { type CallerResponse, targetPortName } from "@linkfall/ports";
import { refusalResponse } from "@linkfall/refusals";
import { chooseTarget } from "@linkfall/routing";
import { targetLoadName } from "@linkfall/target-load";
import { targetWatchName } from "@linkfall/target-watch";
import type { Milliseconds, ServiceTarget } from "@linkfall/types";
import { maxAttempts, refusalAfterLoss, refusalWithoutTargets } from "./call-refusals.js";
import { discardBody } from "./discard-body.js";
import { forwardResponse, isNotStarted } from "./forward-response.js";
import { endToEndHeaders, type PlainCall } from "./plain-call.js";

export type { PlainCall } from "./plain-call.js";

export interface PlainCalls {
  /** Forwards the call; resolves with the response of a target or with a refusal. */
  run(call: PlainCall): Promise<CallerResponse>;
}

export const plainCallsName = serviceName<PlainCalls>("plain-calls");

/** Creates the plain call service of one box. */
export function createPlainCalls(kernel: Kernel): PlainCalls {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const targets = kernel.find(targetPortName);
  const load = kernel.find(targetLoadName);
  const watch = kernel.find(targetWatchName);
  const guard = kernel.find(crashGuardName);

  const guardedRequest = ({ fingerprint, service, account }: PlainCall): GuardedRequest => {
    const facts = { request: fingerprint, service: service.name, route: service.name, account };
    const { targets: all } = service;
    return {
      attributes: facts,
      countTargets: () => all.length,
      countTargetsInUse: () => all.filter(({ address }) => load.inFlight(address) > 0).length,
    };
  };

  const stayingTargets = ({ service }: PlainCall) =>
    service.targets.filter((target) => !watch.isLeaving(target));

  const availableTargets = (
    call: PlainCall,
    tried: ReadonlySet<string>,
  ): readonly ServiceTarget[] => {
    const candidates = stayingTargets(call).filter(({ address }) => !tried.has(address));
    return load.ejection().selectAvailable(candidates, (target) => target.address, clock.now());
  };

  /** Time until the first target ends its back-off; 0 if one has none. */
  const firstBackOffEndsInMs = (call: PlainCall): Milliseconds => {
    const remaining = stayingTargets(call).map(({ address }) =>
      load.ejection().backOffRemainingMs(address, clock.now()),
    );
    return remaining.length === 0 ? 0 : Math.min(...remaining);
  };

  const chooseAddress = (candidates: readonly ServiceTarget[]): string => {
    const chosen = chooseTarget(
      candidates.map(({ address }) => ({
        target: address,
        address,
        load: load.inFlight(address),
        waitMs: 0,
      })),
      { policy: "two_choices", random, turn: 0, affinityKey: "", affinitySlack: 0 },
    );
    return chosen.address;
  };

  const sendTo = async (call: PlainCall, address: string, signal: AbortSignal) => {
    load.requestSent(address);
    const sent = await targets.send(
      {
        address,
        method: call.method,
        path: call.path,
        headers: { ...endToEndHeaders(call.headers), "linkfall-account": call.account },
        body: call.body,
        freshConnection: !call.repeatable,
      },
      signal,
    );
    return sent.mapLeft((failure) => {
      load.requestEnded(address, undefined);
      load.recordFailure(address);
      return failure;
    });
  };

  const tryTargets = async (
    call: PlainCall,
    signal: AbortSignal,
    onDone: () => void,
  ): Promise<CallerResponse> => {
    const tried = new Set<string>();
    let lastFailure: TargetUnreachable | undefined;
    for (let attempt = 1; ; attempt++) {
      const candidates = availableTargets(call, tried);
      if (candidates.length === 0)
        return refusalResponse(
          refusalWithoutTargets(call, lastFailure, firstBackOffEndsInMs(call)),
        );
      const address = chooseAddress(candidates);
      tried.add(address);
      const startedAt = clock.now();
      const discarding = new AbortController();
      const sendSignal = AbortSignal.any([signal, discarding.signal]);
      const sent = await sendTo(call, address, sendSignal);
      const failure = sent.swap().toMaybe().extract();
      if (failure) {
        // A failure after which the call may have run takes precedence over later failures.
        lastFailure = lastFailure?.mayHaveArrived ? lastFailure : failure;
        const target = { name: address, address };
        // Each further target that the call crashes also fails all other calls running there.
        const mayRetry =
          !failure.mayHaveArrived || (await guard.mayRetryElsewhere(guardedRequest(call), target));
        const refusal = refusalAfterLoss(
          call,
          lastFailure,
          mayRetry ? attempt : maxAttempts,
          clock.now(),
        );
        if (refusal) return refusalResponse(refusal);
        continue;
      }
      const response = sent.unsafeCoerce();
      if (isNotStarted(response)) load.recordRefusal(address, response.headers["retry-after"]);
      if (!isNotStarted(response) || attempt >= maxAttempts) {
        const onServed = () => guard.recordServed(guardedRequest(call));
        const onLost = () =>
          void guard.mayRetryElsewhere(guardedRequest(call), { name: address, address });
        return forwardResponse(clock, load, {
          address,
          response,
          startedAt,
          onServed,
          onLost,
          onDone,
        });
      }
      await discardBody(clock, response, () => discarding.abort());
      load.requestEnded(address, undefined);
    }
  };

  return {
    async run(call) {
      const refusal = guard.refusal(guardedRequest(call));
      if (refusal) return refusalResponse(refusal);
      const abortController = new AbortController();
      const abort = () => abortController.abort();
      call.callerGone.addEventListener("abort", abort, { once: true });
      const cancelDeadline = clock.after(call.deadlineAt - clock.now(), abort);
      const onDone = () => {
        cancelDeadline();
        call.callerGone.removeEventListener("abort", abort);
      };
      const response = await tryTargets(call, abortController.signal, onDone);
      if (response.body instanceof Uint8Array) onDone();
      return response;
    },
  };
}
