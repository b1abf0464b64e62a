/**
 * The dispatcher's side: holds the queues of the services that this box dispatches, for itself and for other boxes.
 * Its state is kept in memory only; a new dispatcher begins with the loads that heartbeats have told it of.
 */
import type {
  AdoptedLoad,
  DispatchDecision,
  DispatchEnd,
  DispatchQueue,
  DispatchRequest,
  DispatchSummary,
} from "@linkfall/dispatch-queue";
import type { Clock } from "@linkfall/kernel";
import type { CapacityMessage } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import {
  type DecisionMessage,
  type DispatchMessage,
  type DispatchReply,
  toDispatchEnd,
  toDispatchRequest,
  toDecisionMessage,
} from "./messages.js";

export interface DispatcherPorts {
  createQueue(service: string): DispatchQueue;
  /** Loads of the service's targets by all boxes, from heartbeats. */
  loads(service: string): ReadonlyMap<string, AdoptedLoad>;
  /** Whether the box is known to be alive. */
  isAlive(box: string): boolean;
  /** Whether this box may dispatch; not while it is cut off from the others. */
  mayDispatch(): boolean;
  /** Records of capacities for a box that has those up to `since`. */
  capacitiesSince(since: number): CapacityMessage;
  /** Called when this box begins to dispatch a service. */
  onTookOver(service: string): void;
}

export interface Dispatcher {
  /** As `DispatchQueue.submit`, for a request of this box. */
  submit(request: DispatchRequest, decide: (decision: DispatchDecision) => void): () => void;
  firstBytes(service: string, place: string, firstMs: Milliseconds): void;
  end(service: string, end: DispatchEnd): void;
  /** Handles a message of another box. */
  receive(message: DispatchMessage): Promise<DispatchReply>;
  /** Declines all waiting requests of other boxes, and all later ones. */
  stop(): void;
  /** Summaries of the services that this box dispatches now. */
  summaries(): ReadonlyMap<string, DispatchSummary>;
}

interface ServiceQueue {
  readonly queue: DispatchQueue;
  lastAskAt: Milliseconds;
}

/** A waiting request of another box; its decision is kept until the box asks for it. */
interface HeldAsk {
  readonly queue: DispatchQueue;
  readonly candidates: DispatchRequest["candidates"];
  withdraw: () => void;
  decision?: DispatchDecision;
}

/** What another box waits for at one service. */
interface WaitingBox {
  readonly asks: Map<number, HeldAsk>;
  /** Answers the poll of the box; absent between two polls. */
  answerPoll?: () => void;
  lastMessageAt: Milliseconds;
}

const declined: DispatchReply = { d: 1 };
const accepted: DispatchReply = {};

/** After so long without a request, others have dispatched the service, or nobody: loads of heartbeats are newer. */
const adoptAfterMs: Milliseconds = 1_000;
/** After so long without a request, the queue of a service is dropped. */
const idleMs: Milliseconds = 30_000;
/** Interval between checks for boxes that are gone and for idle services. */
const sweepIntervalMs: Milliseconds = 500;
/** A box that is not known to be alive yet keeps its places for so long after its last message. */
const unknownBoxMs: Milliseconds = 2_000;
/** Requests of a box that has sent no message for this many hold times have been abandoned. */
const abandonedHolds = 4;

/** Loads that others have granted: those of heartbeats, less the grants of this dispatcher. */
function foreignLoads(
  loads: ReadonlyMap<string, AdoptedLoad>,
  summary: DispatchSummary,
): ReadonlyMap<string, AdoptedLoad> {
  const own = new Map(summary.targets.map(({ target, inFlight }) => [target, inFlight]));
  const rest = [...loads].map(([target, load]) => {
    const inFlight = Math.max(0, load.inFlight - (own.get(target) ?? 0));
    return [target, { ...load, inFlight }] as const;
  });
  return new Map(rest.filter(([, { inFlight }]) => inFlight > 0));
}

/** Creates a dispatcher without queues. */
export function createDispatcher(
  clock: Clock,
  holdMs: Milliseconds,
  ports: DispatcherPorts,
): Dispatcher {
  const services = new Map<string, ServiceQueue>();
  /** By service and box. */
  const waitingBoxes = new Map<string, WaitingBox>();
  const lastMessageAt = new Map<string, Milliseconds>();
  let stopped = false;
  let sweptAt = clock.now();

  const mayDecide = (): boolean => !stopped && ports.mayDispatch();

  /** Runs with messages, since a timer would wake an idle process. */
  const sweep = () => {
    const now = clock.now();
    if (now - sweptAt < sweepIntervalMs) return;
    sweptAt = now;
    for (const [key, waiting] of waitingBoxes) {
      if (now - waiting.lastMessageAt < holdMs * abandonedHolds) continue;
      for (const ticket of [...waiting.asks.keys()]) abandon(waiting, ticket);
      waitingBoxes.delete(key);
    }
    for (const [box, at] of lastMessageAt) {
      if (ports.isAlive(box) || now - at < unknownBoxMs) continue;
      lastMessageAt.delete(box);
      for (const { queue } of services.values()) queue.dropBox(box);
    }
    for (const [service, { queue, lastAskAt }] of services) {
      if (now - lastAskAt > idleMs && queue.summary().inFlight === 0) services.delete(service);
    }
  };

  const queueFor = (service: string): DispatchQueue => {
    const now = clock.now();
    const known = services.get(service);
    const current = known ?? { queue: ports.createQueue(service), lastAskAt: -Infinity };
    if (!known) services.set(service, current);
    const { queue, lastAskAt } = current;
    current.lastAskAt = now;
    if (now - lastAskAt > adoptAfterMs) {
      const loads = ports.loads(service);
      if (loads.size > 0) queue.adopt(foreignLoads(loads, queue.summary()));
      if (!known) ports.onTookOver(service);
    }
    return queue;
  };

  const releaseDecided = ({ queue, decision }: HeldAsk) => {
    if (decision?.kind !== "granted") return;
    queue.end({ place: decision.place, result: "unused", ms: 0 });
  };

  /** Ends a request that its box no longer waits for. */
  const abandon = ({ asks }: WaitingBox, ticket: number) => {
    const ask = asks.get(ticket);
    if (!ask) return;
    asks.delete(ticket);
    ask.withdraw();
    releaseDecided(ask);
  };

  const waitingOf = ({ s, b }: DispatchMessage): WaitingBox => {
    const key = `${s} ${b}`;
    const waiting = waitingBoxes.get(key) ?? { asks: new Map(), lastMessageAt: clock.now() };
    waitingBoxes.set(key, waiting);
    return waiting;
  };

  /** Takes the decisions that a box has not received yet. */
  const takeDecisions = ({ asks }: WaitingBox): DispatchReply => {
    const decisions: (readonly [number, DecisionMessage])[] = [];
    for (const [ticket, { decision, candidates }] of asks) {
      if (!decision) continue;
      asks.delete(ticket);
      decisions.push([ticket, toDecisionMessage(decision, candidates)]);
    }
    return decisions.length > 0 ? { k: decisions } : { w: asks.size };
  };

  const submitHeld = (
    message: DispatchMessage,
    ticket: number,
    request: DispatchRequest,
  ): DispatchReply => {
    const waiting = waitingOf(message);
    const queue = queueFor(message.s);
    const ask: HeldAsk = { queue, candidates: request.candidates, withdraw: () => undefined };
    ask.withdraw = queue.submit(request, (decision) => {
      ask.decision = decision;
      if (waiting.asks.has(ticket)) waiting.answerPoll?.();
    });
    if (ask.decision) return toDecisionMessage(ask.decision, request.candidates);
    waiting.asks.set(ticket, ask);
    return { w: waiting.asks.size };
  };

  /** Withdraws all requests of other boxes that wait here, and gives back the places that they have not learned of. */
  const dropWaiting = () => {
    const dropped = [...waitingBoxes.values()];
    waitingBoxes.clear();
    for (const waiting of dropped) {
      for (const ticket of [...waiting.asks.keys()]) abandon(waiting, ticket);
      waiting.answerPoll?.();
    }
  };

  const decline = (): DispatchReply => {
    dropWaiting();
    return declined;
  };

  /** Waits until a request of the box is decided, at most for the hold time. */
  const awaitDecision = (waiting: WaitingBox): Promise<void> =>
    new Promise((resolve) => {
      const answer = () => {
        cancelTimer();
        if (waiting.answerPoll === answer) waiting.answerPoll = undefined;
        resolve();
      };
      const cancelTimer = clock.after(holdMs, answer);
      // A box has one poll at a time; an earlier one is that of a connection that it has lost.
      waiting.answerPoll = answer;
      const isDecided = [...waiting.asks.values()].some(({ decision }) => decision !== undefined);
      if (isDecided || waiting.asks.size === 0) answer();
    });

  /** Replies with decisions as soon as there is one, or that the requests still wait. */
  const poll = async (message: DispatchMessage): Promise<DispatchReply> => {
    const waiting = waitingOf(message);
    await awaitDecision(waiting);
    // Another box dispatches meanwhile if this one has stopped or was cut off during the wait.
    return mayDecide() ? takeDecisions(waiting) : decline();
  };

  const applyReports = (message: DispatchMessage) => {
    const { s, w = [], f = [], e = [] } = message;
    for (const ticket of w) abandon(waitingOf(message), ticket);
    const queue = services.get(s)?.queue;
    if (!queue) return;
    for (const [place, firstMs] of f) queue.firstBytes(place, firstMs);
    for (const end of e) queue.end(toDispatchEnd(end));
  };

  const handle = (message: DispatchMessage): DispatchReply | Promise<DispatchReply> => {
    const { s, b, t, a, p } = message;
    const waiting = waitingBoxes.get(`${s} ${b}`);
    if (waiting) waiting.lastMessageAt = clock.now();
    if (a && t !== undefined) return submitHeld(message, t, toDispatchRequest(message, a));
    return p ? poll(message) : accepted;
  };

  /** Adds the records of capacities that the box lacks; a sequence of an earlier incarnation of this box differs, too. */
  const withCapacities = (reply: DispatchReply, since: number | undefined): DispatchReply => {
    if (since === undefined) return reply;
    const c = ports.capacitiesSince(since);
    return c.sequence === since ? reply : { ...reply, c };
  };

  return {
    submit: (request, decide) => {
      sweep();
      return queueFor(request.service).submit(request, decide);
    },
    firstBytes: (service, place, firstMs) =>
      services.get(service)?.queue.firstBytes(place, firstMs),
    end: (service, end) => services.get(service)?.queue.end(end),
    async receive(message) {
      sweep();
      lastMessageAt.set(message.b, clock.now());
      applyReports(message);
      if (!mayDecide()) return decline();
      return withCapacities(await handle(message), message.y);
    },
    stop() {
      stopped = true;
      dropWaiting();
    },
    summaries: () => new Map([...services].map(([name, { queue }]) => [name, queue.summary()])),
  };
}
