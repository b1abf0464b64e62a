/**
 * Keeps targets from crashing that say that they survive only so many rejections a second. One box allocates the places
 * of each target for all boxes; each send needs one. That a target is fragile outlives its incarnation, until an answer
 * without the notice: a target that has crashed for this reason comes back fragile.
 */
import { type AllocationPeers, createDistributedAllocator } from "@linkfall/allocation";
import { type Clock, type Random, sleep } from "@linkfall/kernel";
import { createLimitRegistry, type LimitRegistry } from "@linkfall/target-limits";
import type { Milliseconds } from "@linkfall/types";
import type { PlaceGrant, PlaceRequest, PlaceResult } from "./messages.js";
import { createPlaceAllocator } from "./place-allocator.js";

export * from "./messages.js";
export { createPlaceAllocator, type PlaceAllocator } from "./place-allocator.js";

/** Access to the other boxes. */
export interface PlacePeers extends AllocationPeers<PlaceRequest, PlaceGrant> {
  /** Fraction of the rejections of each target that this box may cause while it is isolated. */
  ownShare(): number;
}

/** The right to one send to a target, until it is given back. */
export interface HeldPlace {
  readonly target: string;
  /** Absent if the target is not fragile. */
  readonly grant?: PlaceGrant;
  /** When it was granted; absent if the target is not fragile. */
  readonly grantedAt?: Milliseconds;
}

/** The limits of the registry are the rejections per second that targets survive. */
export interface FragileTargets extends Omit<LimitRegistry, "forget" | "expire"> {
  /**
   * Waits for a place at the target. Resolves to undefined if there is none within the given time.
   *
   * @param holdMs time after which the place is free again if it is not given back
   */
  acquirePlace(
    target: string,
    withinMs: Milliseconds,
    holdMs: Milliseconds,
  ): Promise<HeldPlace | undefined>;
  /**
   * Whether the request may be written now. A place only covers a send that follows soon; a connection that took long, or
   * the search for a relay, needs a new one.
   */
  isCurrent(place: HeldPlace): boolean;
  /** Gives back a place. */
  endPlace(place: HeldPlace, result: PlaceResult): void;
  /** Whether places at the target are currently refused without asking the allocator. */
  isFull(target: string): boolean;
  /** Handles a request from another box. */
  allocate(request: PlaceRequest): Promise<PlaceGrant>;
  /** Fills a target slowly whose incarnation has ended. */
  restart(target: string): void;
  /** Removes what is known of targets that have been gone for long. */
  expire(isGone: (target: string) => boolean): void;
}

/** Time for which a target that is gone is remembered: one that has crashed may come back under its id. */
const keepGoneMs: Milliseconds = 600_000;
const declinedGrant: PlaceGrant = { granted: false, declined: true };
/** Time after the grant in which a request has to be written, so that its rejection is known while the send counts. */
const maxUnsentMs: Milliseconds = 25;
/** Time for which a refusal is answered without asking; short compared to the time of a request. */
const refusalReuseMs: Milliseconds = 10;

/** Creates the fragile targets of one box. */
export function createFragileTargets(
  clock: Clock,
  random: Random,
  peers: PlacePeers,
): FragileTargets {
  const registry = createLimitRegistry(clock, () => undefined);
  const fullUntil = new Map<string, Milliseconds>();
  const knownSince = new Map<string, Milliseconds>();
  const shared = createPlaceAllocator(clock, random.identifier);
  /** Used while this box is isolated. */
  const isolated = createPlaceAllocator(clock, random.identifier);
  const wholeShare = 1;

  registry.onChange(({ target, perSecond }) => {
    if (perSecond === undefined) {
      knownSince.delete(target);
      fullUntil.delete(target);
    } else if (!knownSince.has(target)) knownSince.set(target, clock.elapsed());
  });
  const isolatedShare = ({ rejectionAllowance }: PlaceRequest) =>
    Math.min(1, Math.max(1, rejectionAllowance) * peers.ownShare());

  const allocator = createDistributedAllocator<PlaceRequest, PlaceGrant>(
    clock,
    peers,
    {
      grantShared: (request) => ({
        ...shared.grant(request, wholeShare),
        grantedBy: peers.self,
      }),
      correct(request) {
        if (request.correction === "unused") shared.end(request, wholeShare);
        else shared.recordForeignGrant(request.target);
      },
      toCorrection(request, { granted, place }) {
        if (!granted || place === undefined) return undefined;
        return { ...request, ended: { place, result: "unused" } };
      },
      grantIsolated: (request) => isolated.grant(request, isolatedShare(request)),
      onDisconnected: isolated.reset,
      onReconnected: shared.reset,
      declinedGrant,
    },
    ({ target }) => target,
  );

  const requestFor = (
    target: string,
    withinMs: Milliseconds,
    holdMs: Milliseconds,
  ): PlaceRequest => ({
    target,
    rejectionAllowance: registry.limitOf(target) ?? 0,
    knownForMs: clock.elapsed() - (knownSince.get(target) ?? clock.elapsed()),
    holdMs,
    withinMs,
  });

  return {
    ...registry,
    async acquirePlace(target, withinMs, holdMs) {
      const until = clock.now() + withinMs;
      while (registry.limitOf(target) !== undefined) {
        const grant = await allocator.acquire(
          requestFor(target, Math.max(0, until - clock.now()), holdMs),
        );
        if (grant.granted) return { target, grant, grantedAt: clock.now() };
        const { askAgainMs = Infinity } = grant;
        if (clock.now() + askAgainMs > until) {
          fullUntil.set(target, clock.now() + refusalReuseMs);
          return undefined;
        }
        await sleep(clock, askAgainMs);
      }
      return { target };
    },
    isCurrent({ target, grantedAt = -Infinity }) {
      return registry.limitOf(target) === undefined || clock.now() - grantedAt <= maxUnsentMs;
    },
    endPlace({ target, grant }, result) {
      if (grant?.place === undefined) return;
      const { place, grantedBy } = grant;
      const request = { ...requestFor(target, 0, 0), ended: { place, result } };
      if (grantedBy === undefined) return isolated.end(request, isolatedShare(request));
      if (grantedBy === peers.self) return shared.end(request, wholeShare);
      // A lost message costs the place until it expires.
      void peers.sendRequest(grantedBy, { ...request, passedOn: true, correction: "unused" });
    },
    isFull: (target) => (fullUntil.get(target) ?? -Infinity) > clock.now(),
    allocate: allocator.allocate,
    restart(target) {
      shared.restart(target);
      isolated.restart(target);
    },
    expire(isGone) {
      registry.expire(isGone, keepGoneMs);
      for (const known of [knownSince, fullUntil])
        for (const target of known.keys())
          if (registry.limitOf(target) === undefined) known.delete(target);
      shared.expire(keepGoneMs);
      isolated.expire(keepGoneMs);
    },
  };
}
