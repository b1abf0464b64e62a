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

const minDurationMs = 50;

/** Faults over `lengthMs`, in the order of their time; each ends within it. */
export function drawFaults(
  random: Random,
  kinds: readonly FaultKind[],
  count: number,
  seriesMs: number,
): readonly Fault[] {
  const applicableKinds = kinds.filter((kind) => kind.subjects.length > 0);
  const faults = Array.from({ length: count }, (): Fault => {
    const { kind, subjects, mostMs } = pick(random, applicableKinds);
    const atMs = random.nextInt(seriesMs);
    const forMs = minDurationMs + random.nextInt(Math.max(1, Math.min(mostMs, seriesMs - atMs)));
    return { atMs, kind, subject: pick(random, subjects), forMs };
  });
  return faults.sort((left, right) => left.atMs - right.atMs);
}
