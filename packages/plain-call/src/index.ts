/** Passes calls to plain services through, and repeats them only where that is safe. */
import type { TargetUnreachable } from "@linkfall/errors";
import { clockName, type Kernel, randomName, serviceName } from "@linkfall/kernel";
import {
  type BodyPart,
  type CallerResponse,
  type HeaderMap,
  targetPortName,
  type TargetResponse,
} from "@linkfall/ports";
import { failed, notRun, outcomeUnknown, refusalResponse } from "@linkfall/refusals";
import { chooseTarget } from "@linkfall/routing";
import { targetLoadName } from "@linkfall/target-load";
import { targetWatchName } from "@linkfall/target-watch";
import type { Milliseconds, PlainService, Refusal, ServiceTarget } from "@linkfall/types";

const retryAfterMs: Milliseconds = 1_000;
const mostAttempts = 3;
const firstServerError = 500;
const notStartedHeader = "x-not-started";
/** Headers that belong to one connection, or that the box sets itself. */
const ownHeaders = ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"];

/** One call of a caller. */
export interface PlainCall {
  readonly account: string;
  readonly service: PlainService;
  readonly method: string;
  /** Path and query at the service. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  readonly deadlineAt: Milliseconds;
  readonly repeatable: boolean;
  readonly gone: AbortSignal;
}

export interface PlainCalls {
  run(call: PlainCall): Promise<CallerResponse>;
}

export const plainCallsName = serviceName<PlainCalls>("plain-calls");

function passedHeaders(headers: HeaderMap): HeaderMap {
  const kept = Object.entries(headers).filter(([name]) => !ownHeaders.includes(name));
  return Object.fromEntries(kept);
}

/** Creates the calls of one box. */
export function createPlainCalls(kernel: Kernel): PlainCalls {
  const clock = kernel.find(clockName);
  const random = kernel.find(randomName);
  const targets = kernel.find(targetPortName);
  const load = kernel.find(targetLoadName);
  const watch = kernel.find(targetWatchName);

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

  /** Passes the body on and notes how the target did. */
  async function* passOn(
    address: string,
    response: TargetResponse,
    startedAt: Milliseconds,
    done: () => void,
  ): AsyncGenerator<BodyPart> {
    let whole = false;
    try {
      for await (const part of response.body) {
        yield part;
        if (part.isLeft()) return;
      }
      whole = response.status < firstServerError;
    } finally {
      load.ended(address, whole ? { ranMs: clock.now() - startedAt, tokens: 0 } : undefined);
      if (!whole) load.failed(address);
      done();
    }
  }

  const toResponse = (
    address: string,
    response: TargetResponse,
    startedAt: Milliseconds,
    done: () => void,
  ): CallerResponse => ({
    status: response.status,
    headers: {
      ...passedHeaders(response.headers),
      "linkfall-outcome": response.headers[notStartedHeader] === "true" ? "not_run" : "answered",
    },
    body: passOn(address, response, startedAt, done),
  });

  /** What to do about a call that got no answer: a refusal, or undefined to try elsewhere. */
  const judge = (
    call: PlainCall,
    failure: TargetUnreachable,
    attempt: number,
  ): Refusal | undefined => {
    const inTime = clock.now() < call.deadlineAt && !call.gone.aborted;
    const mayRepeat = !failure.mayHaveArrived || call.repeatable;
    if (mayRepeat && inTime && attempt < mostAttempts) return undefined;
    if (!failure.mayHaveArrived) return notRun("target_refused", failure.reason, retryAfterMs);
    if (!call.repeatable) return outcomeUnknown("target_lost", failure.reason);
    return failed("target_lost", failure.reason, retryAfterMs);
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

  /** The answer when there is no target left to try. */
  const nothingLeft = (call: PlainCall, last: TargetUnreachable | undefined): Refusal => {
    const reason = last?.reason ?? `no target of ${call.service.name} is open`;
    if (last?.mayHaveArrived) return failed("target_lost", reason, retryAfterMs);
    return notRun("no_replica", reason, retryAfterMs);
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
      if (candidates.length === 0) return refusalResponse(nothingLeft(call, lost));
      const address = choose(candidates);
      tried.add(address);
      const startedAt = clock.now();
      const sent = await attemptAt(call, address, signal);
      const failure = sent.swap().toMaybe().extract();
      if (failure) {
        // One attempt that may have run decides: later ones cannot make it "not run" again.
        lost = lost?.mayHaveArrived ? lost : failure;
        const refusal = judge(call, lost, attempt);
        if (refusal) return refusalResponse(refusal);
        continue;
      }
      const response = sent.unsafeCoerce();
      const notStarted = response.headers[notStartedHeader] === "true";
      if (!notStarted || attempt >= mostAttempts) {
        return toResponse(address, response, startedAt, done);
      }
      await discard(response);
      load.ended(address, undefined);
    }
  };

  return {
    async run(call) {
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

/** Reads a small body to its end, so that its connection can be used again. */
async function discard(response: TargetResponse): Promise<void> {
  for await (const part of response.body) if (part.isLeft()) return;
}
