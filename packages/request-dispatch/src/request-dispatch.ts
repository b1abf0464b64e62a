/**
 * Places at the targets of a service, granted by one box for all. A box whose dispatcher does not answer chooses its
 * targets alone, at once, and asks the next dispatcher with later requests.
 */
import type {
  AdoptedLoad,
  DispatchEnd,
  DispatchQueue,
  DispatchRequest,
  DispatchSummary,
} from "@linkfall/dispatch-queue";
import type { PeerUnreachable } from "@linkfall/errors";
import { type Clock, serviceName } from "@linkfall/kernel";
import type { CapacityMessage } from "@linkfall/target-capacity";
import type { Milliseconds, RoutedService } from "@linkfall/types";
import type { Either } from "purify-ts";
import { createDispatcher } from "./dispatcher.js";
import { createDispatcherLink, type DispatcherLink, type LinkTimes } from "./dispatcher-link.js";
import type { DispatchMessage, DispatchReply } from "./messages.js";
import type { DispatchGrant, DispatchOutcome, Waiter } from "./types.js";

/** Access to the other boxes. */
export interface DispatchPeers {
  /** Incarnation of this box. */
  readonly self: string;
  /** Peer address of this box. */
  readonly selfAddress: string;
  /** Peer addresses of the boxes that may dispatch a service, in order of preference. */
  dispatchers(service: string): readonly string[];
  send(address: string, message: DispatchMessage): Promise<Either<PeerUnreachable, DispatchReply>>;
  /** Whether this box is connected to the majority of boxes. */
  connected(): boolean;
  isAlive(incarnation: string): boolean;
  /** Total time for which the event loop of this box was blocked. */
  heldUpMs(): Milliseconds;
  /** Loads of the service's targets by all boxes, from heartbeats. */
  loads(service: string): ReadonlyMap<string, AdoptedLoad>;
}

/** Told of what happens, for logs and metrics. */
export interface DispatchObserver {
  onOutcome(request: DispatchRequest, outcome: DispatchOutcome, waitedMs: Milliseconds): void;
  onDispatcherLost(address: string, reason: string): void;
  onDispatcherFound(address: string): void;
  onTookOver(service: string): void;
}

export interface RequestDispatchOptions extends LinkTimes {
  isActive(service: RoutedService): boolean;
  createQueue(service: string): DispatchQueue;
  /** What this box has learned of the capacities of targets. */
  readonly capacities: {
    recordsSince(since: number): CapacityMessage;
    applyRecords(from: string, message: CapacityMessage): void;
  };
}

export interface RequestDispatch {
  /** Whether places at the targets of this service are granted by a dispatcher. */
  isActive(service: RoutedService): boolean;
  /** Resolves with a grant, a rejection, or "unavailable" if this box has to choose alone. */
  acquire(request: DispatchRequest, waiter: Waiter): Promise<DispatchOutcome>;
  firstBytes(grant: DispatchGrant, firstMs: Milliseconds): void;
  end(grant: DispatchGrant, end: Omit<DispatchEnd, "place">): void;
  /** Handles a message of another box. */
  receive(message: DispatchMessage): Promise<DispatchReply>;
  /** Declines requests from now on, so that other boxes ask the next dispatcher. */
  stop(): void;
  /** Summaries of the services that this box dispatches. */
  summaries(): ReadonlyMap<string, DispatchSummary>;
}

export const requestDispatchName = serviceName<RequestDispatch>("request-dispatch");

/** Number of dispatchers that are considered for one request. */
const maxDispatchers = 2;
/** The ranking of boxes and the connection are computed at most this often; both change within hundreds of milliseconds. */
const viewMs: Milliseconds = 25;
/** Links are dropped once there are more than this, as boxes come and go. */
const maxLinks = 1_000;

const unavailable: DispatchOutcome = { kind: "unavailable" };
const left: DispatchOutcome = { kind: "left" };

interface View {
  readonly at: Milliseconds;
  readonly dispatchers: readonly string[];
}

/** Creates the dispatch of one box. */
export function createRequestDispatch(
  clock: Clock,
  peers: DispatchPeers,
  options: RequestDispatchOptions,
  observer: DispatchObserver,
): RequestDispatch {
  const links = new Map<string, DispatcherLink>();
  const views = new Map<string, View>();
  let connectedAt = -Infinity;
  let connected = true;
  let lastTicket = 0;
  let stopped = false;

  const isConnected = (): boolean => {
    if (clock.now() - connectedAt >= viewMs) {
      connected = peers.connected();
      connectedAt = clock.now();
    }
    return connected;
  };

  const dispatcher = createDispatcher(clock, options.holdMs, {
    createQueue: options.createQueue,
    loads: peers.loads,
    capacitiesSince: options.capacities.recordsSince,
    isAlive: (box) => box === peers.self || peers.isAlive(box),
    mayDispatch: isConnected,
    onTookOver: observer.onTookOver,
  });

  const dispatchersOf = (service: string): readonly string[] => {
    const known = views.get(service);
    if (known && clock.now() - known.at < viewMs) return known.dispatchers;
    const dispatchers = peers.dispatchers(service).slice(0, maxDispatchers);
    views.set(service, { at: clock.now(), dispatchers });
    return dispatchers;
  };

  const linkTo = (address: string): DispatcherLink => {
    const known = links.get(address);
    if (known) return known;
    if (links.size >= maxLinks) links.clear();
    const link = createDispatcherLink(clock, options, {
      self: peers.self,
      address,
      send: (message) => peers.send(address, message),
      heldUpMs: peers.heldUpMs,
      applyCapacities: (message) => options.capacities.applyRecords(address, message),
      nextTicket: () => ++lastTicket,
      onLost: (reason) => observer.onDispatcherLost(address, reason),
      onFound: () => observer.onDispatcherFound(address),
    });
    links.set(address, link);
    return link;
  };

  const awaitOwnDecision = (request: DispatchRequest, waiter: Waiter): Promise<DispatchOutcome> =>
    new Promise((resolve) => {
      const { service } = request;
      const dueAt = clock.now() + request.timeLeftMs;
      let settled = false;
      let cancelTimer = () => undefined as void;
      let withdraw = () => undefined as void;
      const settle = (outcome: DispatchOutcome) => {
        settled = true;
        cancelTimer();
        resolve(outcome);
      };
      const leave = (outcome: DispatchOutcome) => {
        if (settled) return;
        withdraw();
        settle(outcome);
      };
      withdraw = dispatcher.submit(request, (decision) => {
        if (settled) return;
        if (decision.kind === "rejected") return settle(decision);
        const { target, place, expectedMs } = decision;
        const grant = { service, target, place, expectedMs, dispatcher: peers.selfAddress };
        settle({ kind: "granted", grant });
      });
      if (settled) return;
      const check = () => {
        if (stopped || !isConnected()) return leave(unavailable);
        if (waiter.isGone() || clock.now() >= dueAt) return leave(left);
        const ms = Math.min(options.holdMs, dueAt - clock.now());
        cancelTimer = clock.after(Math.max(1, ms), check);
      };
      waiter.onGone(() => leave(left));
      check();
    });

  /** Waits for a decision of this box, which counts only if this box may still decide. */
  const acquireHere = async (
    request: DispatchRequest,
    waiter: Waiter,
  ): Promise<DispatchOutcome> => {
    const outcome = await awaitOwnDecision(request, waiter);
    if (outcome.kind !== "granted" || isConnected()) return outcome;
    dispatcher.end(request.service, { place: outcome.grant.place, result: "unused", ms: 0 });
    return unavailable;
  };

  const acquireAnywhere = async (
    request: DispatchRequest,
    waiter: Waiter,
  ): Promise<DispatchOutcome> => {
    if (!isConnected()) return unavailable;
    for (const address of dispatchersOf(request.service)) {
      if (address === peers.selfAddress) {
        // This box may have been cut off while it waited for another dispatcher.
        if (stopped || !isConnected()) continue;
        return acquireHere(request, waiter);
      }
      const link = linkTo(address);
      if (!link.isUsable(request.service)) continue;
      const outcome = await link.acquire(request, waiter);
      if (outcome) return outcome;
    }
    return unavailable;
  };

  return {
    isActive: options.isActive,
    async acquire(request, waiter) {
      const askedAt = clock.now();
      const outcome = await acquireAnywhere(request, waiter);
      observer.onOutcome(request, outcome, clock.now() - askedAt);
      return outcome;
    },
    firstBytes({ service, place, dispatcher: address }, firstMs) {
      if (address === peers.selfAddress) return dispatcher.firstBytes(service, place, firstMs);
      linkTo(address).firstBytes(service, place, firstMs);
    },
    end({ service, place, dispatcher: address }, end) {
      if (address === peers.selfAddress) return dispatcher.end(service, { ...end, place });
      linkTo(address).end(service, { ...end, place });
    },
    receive: dispatcher.receive,
    stop() {
      stopped = true;
      dispatcher.stop();
    },
    summaries: dispatcher.summaries,
  };
}
