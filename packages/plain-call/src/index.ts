/** Passes calls to plain services through, and repeats them only where that is safe. */
import { crashGuardName, type GuardedRequest } from "@linkfall/crash-guard";
import type { TargetUnreachable } from "@linkfall/errors";
import { clockName, type Kernel, randomName, serviceName } from "@linkfall/kernel";
import { type CallerResponse, targetPortName } from "@linkfall/ports";
import { refusalResponse } from "@linkfall/refusals";
import { chooseTarget } from "@linkfall/routing";
import { targetLoadName } from "@linkfall/target-load";
import { targetWatchName } from "@linkfall/target-watch";
import type { ServiceTarget } from "@linkfall/types";
import { refusalAfterLoss, refusalWithoutTargets, maxAttempts } from "./call-refusals.js";
import { discardBody, isNotStarted, forwardResponse } from "./pass-answer.js";
import { endToEndHeaders, type PlainCall } from "./plain-call.js";

export type { PlainCall } from "./plain-call.js";

export interface PlainCalls {
  run(call: PlainCall): Promise<CallerResponse>;
}

export const plainCallsName = serviceName<PlainCalls>("plain-calls");

/** Creates the calls of one box. */
export function createPlainCalls(kernel: Kernel): PlainCalls {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const targets = kernel.find(targetPortName);
  const load = kernel.find(targetLoadName);
  const watch = kernel.find(targetWatchName);
  const guard = kernel.find(crashGuardName);

  const guardedRequest = ({ fingerprint, service, account }: PlainCall): GuardedRequest => {
    const facts = { request: fingerprint, service: service.name, route: service.name, account };
    return { attributes: facts, countTargets: () => service.targets.length };
  };

  const open = (call: PlainCall, tried: ReadonlySet<string>): readonly ServiceTarget[] => {
    const available = call.service.targets.filter(
      (target) => !watch.isLeaving(target) && !tried.has(target.address),
    );
    return load.ejection().selectAvailable(available, (target) => target.address, clock.now());
  };

  const choose = (candidates: readonly ServiceTarget[]): string => {
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
    done: () => void,
  ): Promise<CallerResponse> => {
    const tried = new Set<string>();
    let lost: TargetUnreachable | undefined;
    for (let attempt = 1; ; attempt++) {
      const candidates = open(call, tried);
      if (candidates.length === 0) return refusalResponse(refusalWithoutTargets(call, lost));
      const address = choose(candidates);
      tried.add(address);
      const startedAt = clock.now();
      const sent = await sendTo(call, address, signal);
      const failure = sent.swap().toMaybe().extract();
      if (failure) {
        // One attempt that may have run decides: later ones cannot make it "not run" again.
        lost = lost?.mayHaveArrived ? lost : failure;
        const ended = { name: address, address };
        // A further target that the call ends would take all calls at work there with it.
        const mayGoOn =
          !failure.mayHaveArrived || (await guard.mayRetryElsewhere(guardedRequest(call), ended));
        const refusal = refusalAfterLoss(call, lost, mayGoOn ? attempt : maxAttempts, clock.now());
        if (refusal) return refusalResponse(refusal);
        continue;
      }
      const response = sent.unsafeCoerce();
      if (!isNotStarted(response) || attempt >= maxAttempts) {
        const served = () => guard.recordServed(guardedRequest(call));
        const lost = () =>
          void guard.mayRetryElsewhere(guardedRequest(call), { name: address, address });
        return forwardResponse(clock, load, {
          address,
          response,
          startedAt,
          onServed: served,
          onLost: lost,
          onDone: done,
        });
      }
      await discardBody(response);
      load.requestEnded(address, undefined);
      load.recordRefusal(address, response.headers["retry-after"]);
    }
  };

  return {
    async run(call) {
      const refusal = guard.refusal(guardedRequest(call));
      if (refusal) return refusalResponse(refusal);
      const giveUp = new AbortController();
      const onGone = () => giveUp.abort();
      call.callerGone.addEventListener("abort", onGone, { once: true });
      const cancelDeadline = clock.after(call.deadlineAt - clock.now(), onGone);
      const done = () => {
        cancelDeadline();
        call.callerGone.removeEventListener("abort", onGone);
      };
      const response = await tryTargets(call, giveUp.signal, done);
      if (response.body instanceof Uint8Array) done();
      return response;
    },
  };
}
