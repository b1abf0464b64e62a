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
  readonly arrivals: number;
  /** Its process does not run. */
  readonly down: boolean;
  /** Its process ends, and is back after `awayMs`. */
  crash(awayMs: Milliseconds): void;
  /** Runs a call; undefined where the process ended under it. */
  call(
    request: Pick<TargetRequest, "method" | "path" | "headers" | "body">,
  ): Promise<TargetResponse | undefined>;
}

/** Creates a target that takes `workMs` for each call. */
export function createServiceCore(
  address: string,
  clock: Clock,
  workMs: Milliseconds,
  ran: (path: string, body: string) => void,
): ServiceCore {
  async function* bodyOf(text: string): AsyncGenerator<BodyPart> {
    yield Right(Buffer.from(text));
  }
  let down = false;
  let lives = 1;
  let arrivals = 0;
  const turnAway = (retryAfter: string): TargetResponse => {
    const headers = { "x-not-started": "true", "retry-after": retryAfter, "content-length": "0" };
    return { status: 503, headers, body: bodyOf("") };
  };
  const core: ServiceCore = {
    address,
    leaving: false,
    get arrivals() {
      return arrivals;
    },
    get down() {
      return down;
    },
    crash(awayMs) {
      down = true;
      lives += 1;
      clock.after(awayMs, () => (down = false));
    },
    async call(request) {
      const text = Buffer.from(request.body).toString("utf8");
      const life = lives;
      arrivals += 1;
      if (core.retryAfter !== undefined) return turnAway(core.retryAfter);
      ran(request.path, text);
      await sleep(clock, workMs);
      if (life !== lives) return undefined;
      const answer = JSON.stringify({ path: request.path, echo: text });
      const headers = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(answer)),
      };
      return { status: 200, headers, body: bodyOf(answer) };
    },
  };
  return core;
}
