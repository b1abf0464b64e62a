/** Draws a random series of faults, which may overlap and repeat. */
import { pick, type Random } from "@linkfall/kernel";

/** A kind of fault and the subjects it can be injected into. */
export interface FaultKind {
  readonly kind: string;
  readonly subjects: readonly string[];
  /** Maximum duration, in addition to the minimum that every fault has. */
  readonly mostMs: number;
}

/** A fault at a time, in milliseconds from the start of the series. */
export interface Fault {
  readonly atMs: number;
  readonly kind: string;
  readonly subject: string;
  readonly forMs: number;
}

const minDurationMs = 50;

/** Draws `count` faults, ordered by start. Each ends at most the minimum duration after `seriesMs`. */
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
