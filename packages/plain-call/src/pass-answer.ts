/** Passes a target's answer on, and notes how the target did. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart, CallerResponse, TargetResponse } from "@linkfall/ports";
import type { TargetLoad } from "@linkfall/target-load";
import type { Milliseconds } from "@linkfall/types";
import { passedHeaders } from "./plain-call.js";

const firstServerError = 500;
const notStartedHeader = "x-not-started";

/** Whether the target says that it has not run the call. */
export function notStarted({ headers }: TargetResponse): boolean {
  return headers[notStartedHeader] === "true";
}

export interface AnsweredCall {
  readonly address: string;
  readonly response: TargetResponse;
  readonly startedAt: Milliseconds;
  /** Called when the answer is whole and no failure of the target's. */
  served(): void;
  /** Called when the answer broke off in its middle. */
  lost(): void;
  /** Called when the body has ended, or its reader has gone. */
  done(): void;
}

async function* passBody(
  clock: Clock,
  load: TargetLoad,
  { address, response, startedAt, served, lost, done }: AnsweredCall,
): AsyncGenerator<BodyPart> {
  let whole = false;
  try {
    for await (const part of response.body) {
      yield part;
      if (part.isLeft()) return lost();
    }
    whole = response.status < firstServerError;
  } finally {
    load.ended(address, whole ? { ranMs: clock.now() - startedAt, tokens: 0 } : undefined);
    if (whole) served();
    else load.failed(address);
    done();
  }
}

/** The answer as the caller gets it. */
export function passAnswer(clock: Clock, load: TargetLoad, call: AnsweredCall): CallerResponse {
  const { response } = call;
  return {
    status: response.status,
    headers: {
      ...passedHeaders(response.headers),
      "linkfall-outcome": notStarted(response) ? "not_run" : "answered",
    },
    body: passBody(clock, load, call),
  };
}

/** Reads a small body to its end, so that its connection can be used again. */
export async function discard(response: TargetResponse): Promise<void> {
  for await (const part of response.body) if (part.isLeft()) return;
}
