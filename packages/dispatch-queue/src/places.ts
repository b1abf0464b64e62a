/** Granted places of all targets: their ends, expiry, and what they show of the targets. */
import type { Random } from "@linkfall/kernel";
import type { TargetCapacities } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import type { ServiceTargets } from "./service-capacity.js";
import {
  addPlace,
  bindToAccepted,
  findUnreported,
  type Place,
  removePlace,
  type TargetState,
} from "./target-state.js";
import type { DispatchEnd, DispatchRequest } from "./types.js";

export interface Places {
  grant(
    request: DispatchRequest,
    account: string,
    target: TargetState,
    tokens: number,
  ): Place | undefined;
  get(id: string): Place | undefined;
  /** Removes a place and learns from its end, which is absent if none was reported. */
  end(id: string, end: DispatchEnd | undefined): Place | undefined;
  /** Ids of the places of a box. */
  ofBox(box: string): readonly string[];
  /** Ids of the places whose time is over. */
  expired(): readonly string[];
  /** Reports work that takes long before it ends, so that a slow target is noticed. */
  observeRunning(): void;
  size(): number;
}

/** Work within this multiple of its expected duration shows nothing. */
const runningFactor = 1.5;
/** A few requests show that a target is slow. */
const maxRunningReports = 4;
/** Bound for the memory of places, about 20 MB; more than 60 engines with 64 slots and their queues need. */
const maxPlaces = 50_000;

export function createPlaces(
  now: () => Milliseconds,
  random: Random,
  targets: ServiceTargets,
  capacities: TargetCapacities,
): Places {
  const places = new Map<string, Place>();

  const learn = (place: Place, end: DispatchEnd, workedMs: Milliseconds | undefined) => {
    if (end.result === "unused") return;
    targets.observeReportDelay(now() - place.grantedAt - end.ms);
    const target = place.target.name;
    const observer = place.box;
    if (end.result === "rejected") {
      bindToAccepted(place.target, now());
      place.target.observations += 1;
      capacities.observeRejection(target, place.target.places.size + 1);
    }
    // Engines are observed by prompt and event.
    if (end.result !== "served" || place.tokens > 0 || workedMs === undefined || workedMs <= 0)
      return;
    const { kind, concurrency } = place;
    capacities.observe({ target, kind, observer, concurrency, amount: 1, durationMs: workedMs });
    place.target.observations += 1;
  };

  const markUnreported = (target: TargetState) =>
    findUnreported(target, (kind) => targets.profile(target, kind), now());

  const observeTarget = (target: TargetState) => {
    const [first] = target.places.values();
    // Engines are observed by prompt and event.
    if (first === undefined || first.tokens > 0) return;
    markUnreported(target);
    let reported = 0;
    for (const place of target.places.values()) {
      if (place.startedAt === undefined) continue;
      // Others have overtaken it, so that its request is long, or its end was lost; the target isn't slow.
      if (place.laterEnds >= targets.profile(target, place.kind).useful / 2) continue;
      const work = targets.work(target, place.kind, place.concurrency);
      const elapsedMs = now() - place.startedAt - place.reportDelayMs;
      if (elapsedMs < runningFactor * work) return;
      const { kind, box: observer, concurrency } = place;
      const running = { target: target.name, kind, observer, concurrency, amount: 1 };
      capacities.observeRunning(running, elapsedMs);
      reported += 1;
      if (reported >= maxRunningReports) return;
    }
  };

  return {
    grant(request, account, target, tokens) {
      if (places.size >= maxPlaces) return undefined;
      const place: Place = {
        id: random.identifier(),
        target,
        box: request.box,
        account,
        kind: request.kind,
        grantedAt: now(),
        expiresAt: now() + Math.max(1, request.timeLeftMs),
        tokens,
        isStream: request.stream ?? false,
        concurrency: target.slots,
        laterEnds: 0,
        isUnreported: false,
        reportDelayMs: targets.reportDelayMs(),
      };
      places.set(place.id, place);
      addPlace(place, targets.profile(target, request.kind).workMs);
      return place;
    },
    get: (id) => places.get(id),
    end(id, end) {
      const place = places.get(id);
      if (!place) return undefined;
      places.delete(id);
      const workedMs = removePlace(place, end, now());
      if (end) learn(place, end, workedMs);
      if (place.tokens === 0) markUnreported(place.target);
      return place;
    },
    ofBox: (box) => [...places.values()].filter((place) => place.box === box).map(({ id }) => id),
    expired: () =>
      [...places.values()].filter(({ expiresAt }) => expiresAt <= now()).map(({ id }) => id),
    observeRunning() {
      for (const target of targets.all()) if (target.places.size > 0) observeTarget(target);
    },
    size: () => places.size,
  };
}
