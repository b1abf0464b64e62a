/** Forwards a target's response and records its result for the target. */
import type { Clock } from "@linkfall/kernel";
import type { BodyPart, CallerResponse, TargetResponse } from "@linkfall/ports";
import type { TargetLoad } from "@linkfall/target-load";
import type { Milliseconds } from "@linkfall/types";
import { endToEndHeaders } from "./plain-call.js";

const minServerErrorStatus = 500;
const notStartedHeader = "x-not-started";

/** Whether the target reported that it did not run the call. */
export function isNotStarted({ headers }: TargetResponse): boolean {
  return headers[notStartedHeader] === "true";
}

/** A response to forward, and its callbacks. */
export interface ForwardedResponse {
  readonly address: string;
  readonly response: TargetResponse;
  readonly startedAt: Milliseconds;
  /** Called when the response is complete and not a server error. */
  onServed(): void;
  /** Called when the response broke off. */
  onLost(): void;
  /** Called when the body has ended or its reader has stopped. */
  onDone(): void;
}

async function* forwardBody(
  clock: Clock,
  load: TargetLoad,
  { address, response, startedAt, onServed, onLost, onDone }: ForwardedResponse,
): AsyncGenerator<BodyPart> {
  let succeeded = false;
  try {
    for await (const part of response.body) {
      yield part;
      if (part.isLeft()) return onLost();
    }
    succeeded = response.status < minServerErrorStatus;
  } finally {
    load.requestEnded(
      address,
      succeeded ? { durationMs: clock.now() - startedAt, outputTokens: 0 } : undefined,
    );
    if (succeeded) onServed();
    else load.recordFailure(address);
    onDone();
  }
}

/** Creates the caller's response from the target's one. */
export function forwardResponse(
  clock: Clock,
  load: TargetLoad,
  forwarded: ForwardedResponse,
): CallerResponse {
  const { response } = forwarded;
  return {
    status: response.status,
    headers: {
      ...endToEndHeaders(response.headers),
      "linkfall-outcome": isNotStarted(response) ? "not_run" : "answered",
    },
    body: forwardBody(clock, load, forwarded),
  };
}
