/** Draws a series of faults from a seed: they overlap, and any may come more than once. */
import { pick, type Random } from "@linkfall/kernel";

/** One kind of fault, and what it may strike. */
export interface FaultKind {
  readonly kind: string;
  readonly subjects: readonly string[];
  /** Longest time that it lasts. */
  readonly mostMs: number;
}

export interface Fault {
  readonly atMs: number;
  readonly kind: string;
  readonly subject: string;
  readonly forMs: number;
}

const leastMs = 50;

/** Faults over `lengthMs`, in the order of their time; each ends within it. */
export function drawFaults(
  random: Random,
  kinds: readonly FaultKind[],
  count: number,
  lengthMs: number,
): readonly Fault[] {
  const able = kinds.filter((kind) => kind.subjects.length > 0);
  const faults = Array.from({ length: count }, (): Fault => {
    const { kind, subjects, mostMs } = pick(random, able);
    const atMs = random.nextInt(lengthMs);
    const forMs = leastMs + random.nextInt(Math.max(1, Math.min(mostMs, lengthMs - atMs)));
    return { atMs, kind, subject: pick(random, subjects), forMs };
  });
  return faults.sort((left, right) => left.atMs - right.atMs);
}
