/** A stand-in for one target of a plain service. It echoes, and counts what it ran. */
import { type Clock, sleep } from "@linkfall/kernel";
import type { BodyPart, TargetRequest, TargetResponse } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";
import { Right } from "purify-ts";

export interface ServiceCore {
  readonly address: string;
  leaving: boolean;
  /** Seconds for which it asks to be left alone with each call, none of which it runs then. */
  retryAfter?: string;
  /** Calls that came, run or not. */
  readonly receivedCalls: number;
  /** Its process does not run. */
  readonly down: boolean;
  /** Its process ends, and is back after `awayMs`. */
  crash(downtimeMs: Milliseconds): void;
  /** Runs a call; undefined where the process ended under it. */
  call(
    request: Pick<TargetRequest, "method" | "path" | "headers" | "body">,
  ): Promise<TargetResponse | undefined>;
}

/** Creates a target that takes `workMs` for each call. */
export function createServiceCore(
  address: string,
  clock: Clock,
  callMs: Milliseconds,
  onRun: (path: string, body: string) => void,
): ServiceCore {
  async function* responseBody(text: string): AsyncGenerator<BodyPart> {
    yield Right(Buffer.from(text));
  }
  let down = false;
  let incarnation = 1;
  let receivedCalls = 0;
  const rejectWithRetryAfter = (retryAfter: string): TargetResponse => {
    const headers = { "x-not-started": "true", "retry-after": retryAfter, "content-length": "0" };
    return { status: 503, headers, body: responseBody("") };
  };
  const core: ServiceCore = {
    address,
    leaving: false,
    get receivedCalls() {
      return receivedCalls;
    },
    get down() {
      return down;
    },
    crash(downtimeMs) {
      down = true;
      incarnation += 1;
      clock.after(downtimeMs, () => (down = false));
    },
    async call(request) {
      const text = Buffer.from(request.body).toString("utf8");
      const startedIn = incarnation;
      receivedCalls += 1;
      if (core.retryAfter !== undefined) return rejectWithRetryAfter(core.retryAfter);
      onRun(request.path, text);
      await sleep(clock, callMs);
      if (startedIn !== incarnation) return undefined;
      const answer = JSON.stringify({ path: request.path, echo: text });
      const headers = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(answer)),
      };
      return { status: 200, headers, body: responseBody(answer) };
    },
  };
  return core;
}
