/** Passes a target's answer on, and notes how the target did. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart, CallerResponse, TargetResponse } from "@linkfall/ports";
import type { TargetLoad } from "@linkfall/target-load";
import type { Milliseconds } from "@linkfall/types";
import { endToEndHeaders } from "./plain-call.js";

const firstServerError = 500;
const notStartedHeader = "x-not-started";

/** Whether the target says that it has not run the call. */
export function isNotStarted({ headers }: TargetResponse): boolean {
  return headers[notStartedHeader] === "true";
}

export interface ForwardedResponse {
  readonly address: string;
  readonly response: TargetResponse;
  readonly startedAt: Milliseconds;
  /** Called when the answer is whole and no failure of the target's. */
  onServed(): void;
  /** Called when the answer broke off in its middle. */
  onLost(): void;
  /** Called when the body has ended, or its reader has gone. */
  onDone(): void;
}

async function* forwardBody(
  clock: Clock,
  load: TargetLoad,
  { address, response, startedAt, onServed: served, onLost: lost, onDone: done }: ForwardedResponse,
): AsyncGenerator<BodyPart> {
  let whole = false;
  try {
    for await (const part of response.body) {
      yield part;
      if (part.isLeft()) return lost();
    }
    whole = response.status < firstServerError;
  } finally {
    load.requestEnded(
      address,
      whole ? { durationMs: clock.now() - startedAt, outputTokens: 0 } : undefined,
    );
    if (whole) served();
    else load.recordFailure(address);
    done();
  }
}

/** The answer as the caller gets it. */
export function forwardResponse(
  clock: Clock,
  load: TargetLoad,
  call: ForwardedResponse,
): CallerResponse {
  const { response } = call;
  return {
    status: response.status,
    headers: {
      ...endToEndHeaders(response.headers),
      "linkfall-outcome": isNotStarted(response) ? "not_run" : "answered",
    },
    body: forwardBody(clock, load, call),
  };
}

/** Reads a small body to its end, so that its connection can be used again. */
export async function discardBody(response: TargetResponse): Promise<void> {
  for await (const part of response.body) if (part.isLeft()) return;
}
