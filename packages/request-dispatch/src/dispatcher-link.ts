/**
 * The box's side: exchanges messages with one dispatcher. Ends and first bytes are sent with the next request, or after a
 * short time, so that a request costs one message and a share of another.
 */
import type { DispatchEnd, DispatchRequest } from "@linkfall/dispatch-queue";
import type { PeerUnreachable } from "@linkfall/errors";
import type { CancelTimer, Clock } from "@linkfall/kernel";
import type { CapacityMessage } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";
import {
  type DecisionMessage,
  type DispatchMessage,
  type DispatchReply,
  toAskMessage,
  toEndMessage,
} from "./messages.js";
import type { DispatchOutcome, Waiter } from "./types.js";

export interface DispatcherLink {
  /** Whether the dispatcher has answered lately, or has not been asked yet. May ask one that was lost whether it is back. */
  isUsable(service: string): boolean;
  /** Asks for a place; resolves to undefined if the dispatcher declines, so that another one may be asked at once. */
  acquire(request: DispatchRequest, waiter: Waiter): Promise<DispatchOutcome | undefined>;
  firstBytes(service: string, place: string, firstMs: Milliseconds): void;
  end(service: string, end: DispatchEnd): void;
}

export interface LinkPorts {
  /** Incarnation of this box. */
  readonly self: string;
  readonly address: string;
  send(message: DispatchMessage): Promise<Either<PeerUnreachable, DispatchReply>>;
  /** Number of the next request, unique in this incarnation. */
  nextTicket(): number;
  /** Total time for which the event loop of this box was blocked. */
  heldUpMs(): Milliseconds;
  /** Keeps what the dispatcher has learned of targets, for the time when it is lost. */
  applyCapacities(message: CapacityMessage): void;
  onLost(reason: string): void;
  onFound(): void;
}

export interface LinkTimes {
  /** Longest time for which the dispatcher holds a request before it answers that it still waits. */
  readonly holdMs: Milliseconds;
  /** Longest time for a message there and its reply back. */
  readonly askMs: Milliseconds;
}

/** What is reported for one service with the next message. */
interface Outbox {
  ends: DispatchEnd[];
  first: (readonly [place: string, firstMs: Milliseconds])[];
  withdrawn: number[];
}

/** How the wait for a decision ended, if not with one: the dispatcher is lost or declines, or the request has left. */
type NoDecision = "lost" | "declined" | "left";

/** A request that waits for its decision. */
interface Waiting {
  readonly settle: (result: DecisionMessage | NoDecision) => void;
}

/** Time for which a dispatcher is not asked after it did not answer or declined. */
const skipMs: Milliseconds = 800;
/** Time for which reports wait for a request that takes them along. */
const batchMs: Milliseconds = 20;
/** A timer that fires later than this was delayed by this box itself. */
const lateTimerMs: Milliseconds = 15;
/** Number of times that a wait is extended since this box was held up. */
const maxExtensions = 2;
/** Capacities are asked for at most this often. */
const capacitiesIntervalMs: Milliseconds = 500;
/** A dispatcher that is lost again within this time after it was found is skipped for the full time. */
const relapseMs: Milliseconds = 2_000;

/** Creates a link to the dispatcher at an address. */
export function createDispatcherLink(
  clock: Clock,
  times: LinkTimes,
  ports: LinkPorts,
): DispatcherLink {
  const outboxes = new Map<string, Outbox>();
  /** Requests without a decision, by service and ticket. */
  const waiting = new Map<string, Map<number, Waiting>>();
  const polled = new Set<string>();
  let heardAt: Milliseconds = -Infinity;
  let foundAt: Milliseconds = -Infinity;
  let skippedUntil: Milliseconds = -Infinity;
  let capacitiesFollowed = 0;
  let capacitiesAskedAt: Milliseconds = -Infinity;
  let isLost = false;
  let cancelFlush: CancelTimer | undefined;

  const outboxOf = (service: string): Outbox => {
    const outbox = outboxes.get(service) ?? { ends: [], first: [], withdrawn: [] };
    outboxes.set(service, outbox);
    return outbox;
  };

  /** Message with all that waits to be reported for a service. */
  const messageFor = (
    service: string,
    ask: Pick<DispatchMessage, "t" | "a" | "p">,
  ): DispatchMessage => {
    const outbox = outboxes.get(service);
    outboxes.delete(service);
    const message = { s: service, b: ports.self, ...ask };
    if (!outbox) return message;
    const { ends, first, withdrawn } = outbox;
    return {
      ...message,
      w: withdrawn.length > 0 ? withdrawn : undefined,
      f: first.length > 0 ? first : undefined,
      e: ends.length > 0 ? ends.map(toEndMessage) : undefined,
    };
  };

  const flush = () => {
    cancelFlush?.();
    cancelFlush = undefined;
    // The outcome doesn't matter: places whose ends are lost expire.
    for (const service of [...outboxes.keys()]) void ports.send(messageFor(service, {}));
  };
  const flushSoon = () => {
    cancelFlush ??= clock.after(batchMs, flush);
  };

  const settleAll = (result: NoDecision) => {
    const all = [...waiting.values()].flatMap((tickets) => [...tickets.values()]);
    for (const { settle } of all) settle(result);
  };
  const markDeclined = () => {
    skippedUntil = clock.now() + skipMs;
    isLost = true;
    settleAll("declined");
  };
  const markLost = (reason: string) => {
    if (!isLost) ports.onLost(reason);
    skippedUntil = clock.now() + skipMs;
    isLost = true;
    settleAll("lost");
  };
  const markFound = () => {
    if (!isLost) return;
    isLost = false;
    foundAt = clock.now();
    ports.onFound();
  };

  /** Finds out whether a lost dispatcher is back, so that no request has to wait for one that is not. */
  const probe = (service: string) => {
    const sentAt = clock.now();
    skippedUntil = sentAt + skipMs;
    void ports.send(messageFor(service, {})).then((reply) =>
      reply.ifRight(({ d }) => {
        if (d === undefined && clock.now() - sentAt <= times.askMs) markFound();
      }),
    );
  };

  /** Sends a message; marks the dispatcher as lost if nothing is heard from it in time. */
  const exchange = (message: DispatchMessage): Promise<DispatchReply | undefined> =>
    new Promise((resolve) => {
      const sentAt = clock.now();
      const wantsCapacities = sentAt - capacitiesAskedAt >= capacitiesIntervalMs;
      if (wantsCapacities) capacitiesAskedAt = sentAt;
      let isLate = false;
      let heldUpMs = ports.heldUpMs();
      let extensions = 0;
      let cancelTimer: CancelTimer = () => undefined;
      const expire = (expiresAt: Milliseconds) => {
        const now = clock.now();
        // Replies may have arrived and not been read while this box was held up itself.
        const delayedMs = Math.max(now - expiresAt, ports.heldUpMs() - heldUpMs);
        if (delayedMs >= lateTimerMs && extensions < maxExtensions) {
          extensions += 1;
          heldUpMs = ports.heldUpMs();
          return wait(Math.min(delayedMs, times.askMs));
        }
        // The dispatcher has replied to other messages meanwhile.
        if (heardAt > sentAt && now - heardAt < times.askMs) return wait(times.askMs);
        isLate = true;
        markLost("no reply in time");
        resolve(undefined);
      };
      const wait = (ms: Milliseconds) => {
        const expiresAt = clock.now() + ms;
        cancelTimer = clock.after(ms, () => expire(expiresAt));
      };
      wait(times.holdMs + times.askMs);
      const sent = wantsCapacities ? { ...message, y: capacitiesFollowed } : message;
      void ports.send(sent).then((reply) => {
        cancelTimer();
        reply
          .ifLeft(({ reason }) => {
            if (!isLate) markLost(reason);
            resolve(undefined);
          })
          .ifRight((answer) => {
            heardAt = clock.now();
            if (answer.c) {
              capacitiesFollowed = answer.c.sequence;
              ports.applyCapacities(answer.c);
            }
            if (isLate) answerLate(message, answer);
            resolve(isLate ? undefined : answer);
          });
      });
    });

  /** A reply that came too late: gives back what it grants. A dispatcher that was held up for once may be back. */
  const answerLate = ({ s }: DispatchMessage, answer: DispatchReply) => {
    returnLate(s, answer);
    for (const [, decision] of answer.k ?? []) returnLate(s, decision);
    if (isLost && clock.now() - foundAt > relapseMs) probe(s);
  };

  /** Returns a place that was granted after the request had stopped waiting. */
  const returnLate = (service: string, { g }: DecisionMessage) => {
    if (!g) return;
    outboxOf(service).ends.push({ place: g[1], result: "unused", ms: 0 });
    flushSoon();
  };

  const ticketsOf = (service: string): Map<number, Waiting> => {
    const tickets = waiting.get(service) ?? new Map<number, Waiting>();
    waiting.set(service, tickets);
    return tickets;
  };

  /** Polls for the decisions on all waiting requests of a service, as long as there are any. */
  const poll = async (service: string): Promise<void> => {
    if (polled.has(service)) return;
    polled.add(service);
    const tickets = ticketsOf(service);
    while (tickets.size > 0) {
      const known = [...tickets.keys()];
      const reply = await exchange(messageFor(service, { p: 1 }));
      if (!reply) break;
      if (reply.d) {
        markDeclined();
        break;
      }
      for (const [ticket, decision] of reply.k ?? []) {
        const request = tickets.get(ticket);
        if (request) request.settle(decision);
        else returnLate(service, decision);
      }
      // The dispatcher has dropped them, as it took this box for gone.
      if (reply.w === 0) for (const ticket of known) tickets.get(ticket)?.settle("lost");
    }
    polled.delete(service);
    if (tickets.size === 0) waiting.delete(service);
  };

  /** Sends a request, and waits for its decision in the reply or in that to a poll. */
  const decide = (
    request: DispatchRequest,
    ticket: number,
    waiter: Waiter,
  ): Promise<DecisionMessage | NoDecision> =>
    new Promise((resolve) => {
      const { service } = request;
      const tickets = ticketsOf(service);
      let cancelTimer: CancelTimer = () => undefined;
      const settle = (result: DecisionMessage | NoDecision) => {
        if (!tickets.delete(ticket)) {
          if (typeof result === "object") returnLate(service, result);
          return;
        }
        cancelTimer();
        // It may wait at a dispatcher that is slow only.
        if (result === "lost") {
          outboxOf(service).withdrawn.push(ticket);
          flushSoon();
        }
        resolve(result);
      };
      const dueAt = clock.now() + request.timeLeftMs;
      const leave = () => {
        if (!tickets.has(ticket)) return;
        outboxOf(service).withdrawn.push(ticket);
        flush();
        settle("left");
      };
      const check = () => {
        const leftMs = dueAt - clock.now();
        if (waiter.isGone() || leftMs <= 0) return leave();
        cancelTimer = clock.after(Math.min(times.holdMs, leftMs), check);
      };
      tickets.set(ticket, { settle });
      waiter.onGone(leave);
      check();
      void exchange(messageFor(service, { t: ticket, a: toAskMessage(request) })).then((reply) => {
        if (!reply) return settle("lost");
        if (reply.d) return markDeclined();
        if (reply.g || reply.r) return settle(reply);
        if (tickets.has(ticket)) void poll(service);
      });
    });

  return {
    isUsable(service) {
      if (!isLost) return true;
      if (clock.now() >= skippedUntil) probe(service);
      return false;
    },
    async acquire(request, waiter) {
      const { service } = request;
      const decision = await decide(request, ports.nextTicket(), waiter);
      if (decision === "declined") return undefined;
      if (decision === "left") return { kind: "left" };
      if (decision === "lost") return { kind: "unavailable" };
      if (decision.r) {
        return { kind: "rejected", reason: decision.r[0], retryAfterMs: decision.r[1] };
      }
      if (!decision.g) return { kind: "unavailable" };
      const [index, place, expectedMs] = decision.g;
      const { target } = request.candidates[index];
      const grant = { service, target, place, expectedMs, dispatcher: ports.address };
      return { kind: "granted", grant };
    },
    firstBytes(service, place, firstMs) {
      outboxOf(service).first.push([place, Math.round(firstMs)]);
      flushSoon();
    },
    end(service, end) {
      outboxOf(service).ends.push(end);
      flushSoon();
    },
  };
}
