/** Reads a body that nobody gets, so that its connection can be reused. */
import type { Clock } from "@linkfall/kernel";
import type { TargetResponse } from "@linkfall/ports";
import type { Milliseconds } from "@linkfall/types";

/** Beyond this a new connection costs less than the rest of the body. */
const maxDiscardedBytes = 65_536;
const maxDiscardMs: Milliseconds = 100;

/** Reads the body up to a bound on bytes and time, at which `abort` is called to close the connection. */
export async function discardBody(
  clock: Clock,
  { body }: TargetResponse,
  abort: () => void,
): Promise<void> {
  let bytes = 0;
  const cancelTimeout = clock.after(maxDiscardMs, abort);
  for await (const part of body) {
    bytes += part.map(({ length }) => length).orDefault(0);
    if (part.isRight() && bytes <= maxDiscardedBytes) continue;
    abort();
    break;
  }
  cancelTimeout();
}
