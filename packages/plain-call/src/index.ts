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
import { judgeLoss, judgeNothingLeft, mostAttempts } from "./judge-loss.js";
import { discard, notStarted, passAnswer } from "./pass-answer.js";
import { passedHeaders, type PlainCall } from "./plain-call.js";

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

  const guarded = ({ fingerprint, service, account }: PlainCall): GuardedRequest => {
    const facts = { request: fingerprint, service: service.name, route: service.name, account };
    return { attributes: facts, countTargets: () => service.targets.length };
  };

  const open = (call: PlainCall, tried: ReadonlySet<string>): readonly ServiceTarget[] => {
    const staying = call.service.targets.filter(
      (target) => !watch.isLeaving(target) && !tried.has(target.address),
    );
    return load.ejection().keep(staying, (target) => target.address, clock.now());
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

  const attemptAt = async (call: PlainCall, address: string, signal: AbortSignal) => {
    load.sent(address);
    const sent = await targets.send(
      {
        address,
        method: call.method,
        path: call.path,
        headers: { ...passedHeaders(call.headers), "linkfall-account": call.account },
        body: call.body,
        freshConnection: !call.repeatable,
      },
      signal,
    );
    return sent.mapLeft((failure) => {
      load.ended(address, undefined);
      load.failed(address);
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
      if (candidates.length === 0) return refusalResponse(judgeNothingLeft(call, lost));
      const address = choose(candidates);
      tried.add(address);
      const startedAt = clock.now();
      const sent = await attemptAt(call, address, signal);
      const failure = sent.swap().toMaybe().extract();
      if (failure) {
        // One attempt that may have run decides: later ones cannot make it "not run" again.
        lost = lost?.mayHaveArrived ? lost : failure;
        const ended = { name: address, address };
        // A further target that the call ends would take all calls at work there with it.
        const mayGoOn =
          !failure.mayHaveArrived || (await guard.mayRetryElsewhere(guarded(call), ended));
        const refusal = judgeLoss(call, lost, mayGoOn ? attempt : mostAttempts, clock.now());
        if (refusal) return refusalResponse(refusal);
        continue;
      }
      const response = sent.unsafeCoerce();
      if (!notStarted(response) || attempt >= mostAttempts) {
        const served = () => guard.recordServed(guarded(call));
        const lost = () => void guard.mayRetryElsewhere(guarded(call), { name: address, address });
        return passAnswer(clock, load, { address, response, startedAt, served, lost, done });
      }
      await discard(response);
      load.ended(address, undefined);
      load.turnedAway(address, response.headers["retry-after"]);
    }
  };

  return {
    async run(call) {
      const heldBack = guard.refusal(guarded(call));
      if (heldBack) return refusalResponse(heldBack);
      const giveUp = new AbortController();
      const onGone = () => giveUp.abort();
      call.gone.addEventListener("abort", onGone, { once: true });
      const cancelDeadline = clock.after(call.deadlineAt - clock.now(), onGone);
      const done = () => {
        cancelDeadline();
        call.gone.removeEventListener("abort", onGone);
      };
      const response = await tryTargets(call, giveUp.signal, done);
      if (response.body instanceof Uint8Array) done();
      return response;
    },
  };
}
