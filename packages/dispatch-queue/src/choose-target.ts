/** Chooses the target at which a request of a plain service ends soonest, a fully occupied one included. */
import type { Milliseconds } from "@linkfall/types";
import type { ServiceTargets } from "./service-capacity.js";
import type { TargetProfile, TargetState } from "./target-state.js";
import type { DispatchRequest } from "./types.js";

/** A request and the targets of its candidates, in their order. */
export interface Choices {
  readonly request: DispatchRequest;
  readonly targets: readonly TargetState[];
}

export interface Chosen {
  readonly target: TargetState;
  /** Expected time until the response. */
  readonly endMs: Milliseconds;
  readonly hasRoom: boolean;
}

/** A target in another failure domain costs a round trip of 2 to 3 ms and traffic between domains. */
const otherDomainMs: Milliseconds = 3;
/** Of targets that end about equally soon, those with fewer requests come first, so that each is observed. */
const loadWeight = 0.05;

/**
 * Times that all of a target's slots may become free before requests go to a slower one, which then is five times as slow. A
 * target whose speed was learned as too high would otherwise hold up the whole queue.
 */
const maxRounds = 4;

/** Expected time until the target responds, behind its requests in flight. */
function expectedEndMs(
  targets: ServiceTargets,
  target: TargetState,
  profile: TargetProfile,
  kind: string,
): Milliseconds {
  const ahead = targets.inFlight(target, profile);
  const { useful, underWay, workMs } = profile;
  const behind = ahead + 1 - useful - underWay;
  if (behind > 0) return (behind * workMs) / useful + workMs;
  return ahead + 1 >= useful ? workMs : targets.work(target, kind, ahead + 1);
}

const isProbe = (target: TargetState) => target.isProbeDue && target.places.size === 0;

/** The target at which the request ends soonest, or a slow one that a request should probe. */
export function chooseTarget(
  targets: ServiceTargets,
  { request, targets: listed }: Choices,
  onlyFree: boolean,
): Chosen | undefined {
  let best: Chosen | undefined;
  let bestRank = Infinity;
  const { kind, candidates, timeLeftMs } = request;
  for (let index = 0; index < listed.length; index++) {
    const target = listed[index];
    const profile = targets.profile(target, kind);
    const hasRoom = targets.hasRoom(target, profile);
    if (onlyFree && !hasRoom) continue;
    const endMs = expectedEndMs(targets, target, profile, kind);
    if (isProbe(target) && endMs < timeLeftMs) return { target, endMs, hasRoom };
    const load = target.places.size / target.slots;
    const domainMs = candidates[index].sameDomain ? 0 : otherDomainMs;
    const rank = endMs * (1 + loadWeight * load) + domainMs;
    if (rank >= bestRank) continue;
    best = { target, endMs, hasRoom };
    bestRank = rank;
  }
  return best;
}

/** A target with room for one of the waiting requests. */
export interface FreeTarget {
  readonly target: TargetState;
  readonly endMs: Milliseconds;
  /** Waiting requests that end sooner at an occupied target than at this one. */
  readonly passed: number;
}

/** The target with room where a waiting request ends soonest. */
export function findFreeTarget(
  targets: ServiceTargets,
  kind: string,
  skipped: ReadonlySet<TargetState>,
): FreeTarget | undefined {
  let free: TargetState | undefined;
  let freeEndMs = Infinity;
  for (const target of targets.all()) {
    const profile = targets.profile(target, kind);
    if (!targets.hasRoom(target, profile) || !targets.isListed(target) || skipped.has(target))
      continue;
    const endMs = expectedEndMs(targets, target, profile, kind);
    if (isProbe(target)) return { target, endMs, passed: 0 };
    if (endMs >= freeEndMs) continue;
    free = target;
    freeEndMs = endMs;
  }
  if (!free) return undefined;
  return { target: free, endMs: freeEndMs, passed: countSooner(targets, kind, freeEndMs) };
}

/** Requests that occupied targets can take so that each ends before `endMs`. */
function countSooner(targets: ServiceTargets, kind: string, endMs: Milliseconds): number {
  let sooner = 0;
  for (const target of targets.all()) {
    const profile = targets.profile(target, kind);
    if (profile.workMs >= endMs || !targets.isListed(target)) continue;
    if (targets.hasRoom(target, profile)) continue;
    const { useful, underWay, workMs } = profile;
    const behind = Math.max(0, targets.inFlight(target, profile) - useful - underWay);
    const taken = Math.floor(((endMs - workMs) * useful) / workMs - behind);
    sooner += Math.max(0, Math.min(useful * maxRounds, taken));
  }
  return sooner;
}
