/** Chooses the response that gives way when too many bytes are kept until more of their responses is known. */
import type { UnforwardedSource } from "./held-types.js";

interface Unforwarded {
  readonly unforwardedBytes: number;
  readonly source?: UnforwardedSource;
}

/**
 * Returns the largest response of the target of which most bytes are kept or gave way lately, so that a target which sends without
 * end gives way before a large event of another one. Responses of fewer than `minBytes` do not count.
 */
export function findLargestUnforwarded<Response extends Unforwarded>(
  responses: Iterable<Response>,
  minBytes: number,
  droppedBytesOf: (target: string) => number,
): Response | undefined {
  const byTarget = new Map<string, { sum: number; largest: Response }>();
  for (const response of responses) {
    const { source, unforwardedBytes } = response;
    if (!source || unforwardedBytes < minBytes) continue;
    const entry = byTarget.get(source.target);
    if (!entry) {
      const sum = unforwardedBytes + droppedBytesOf(source.target);
      byTarget.set(source.target, { sum, largest: response });
      continue;
    }
    entry.sum += unforwardedBytes;
    if (unforwardedBytes > entry.largest.unforwardedBytes) entry.largest = response;
  }
  let most: { sum: number; largest: Response } | undefined;
  for (const entry of byTarget.values()) if (entry.sum > (most?.sum ?? 0)) most = entry;
  return most?.largest;
}
