/** Draws targets at random, spread over services and failure domains. */
import type { Random } from "@linkfall/kernel";
import type { CheckedTarget } from "./contract.js";

function shuffle<T>(random: Random, list: readonly T[]): T[] {
  const shuffled = [...list];
  for (let last = shuffled.length - 1; last > 0; last--) {
    const other = random.nextInt(last + 1);
    [shuffled[last], shuffled[other]] = [shuffled[other], shuffled[last]];
  }
  return shuffled;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Returns up to `count` targets; those of `avoided` only if there are no others. */
export function drawTargets(
  random: Random,
  targets: readonly CheckedTarget[],
  count: number,
  avoided: ReadonlySet<string>,
): readonly CheckedTarget[] {
  const remaining = new Set(shuffle(random, targets));
  const drawn: CheckedTarget[] = [];
  const services = new Map<string, number>();
  const domains = new Map<string, number>();
  const ranksOf = ({ id, service, domain }: CheckedTarget): readonly number[] => [
    avoided.has(id) ? 1 : 0,
    services.get(service) ?? 0,
    domains.get(domain) ?? 0,
  ];
  const isBefore = (left: readonly number[], right: readonly number[]) => {
    const differing = left.findIndex((rank, index) => rank !== right[index]);
    return differing >= 0 && left[differing] < right[differing];
  };
  while (drawn.length < count && remaining.size > 0) {
    const next = [...remaining].reduce((best, candidate) =>
      isBefore(ranksOf(candidate), ranksOf(best)) ? candidate : best,
    );
    remaining.delete(next);
    drawn.push(next);
    increment(services, next.service);
    increment(domains, next.domain);
  }
  return drawn;
}
