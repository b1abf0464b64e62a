/**
 * Messages between a box and the dispatcher of a service. There is one for each request and one for each batch of ends, so
 * keys are single letters, and times are whole milliseconds.
 */
import type {
  DispatchCandidate,
  DispatchDecision,
  DispatchEnd,
  DispatchRequest,
  RejectionReason,
} from "@linkfall/dispatch-queue";
import type { CapacityMessage } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";

/** Target, slots, 1 if it is in the asking box's failure domain, prompt tokens that it has to read. */
type CandidateMessage = readonly [
  target: string,
  slots: number,
  sameDomain: 0 | 1,
  unreadTokens?: number,
];

/** A request for a place. */
export interface AskMessage {
  /** Kind: the route. */
  readonly k: string;
  /** Name of the client account. */
  readonly n?: string;
  /** Priority. */
  readonly p: number;
  /** Objective. */
  readonly o: Milliseconds;
  /** Time left until the objective. */
  readonly l: Milliseconds;
  /** Maximum time left. */
  readonly m: Milliseconds;
  /** Candidates. */
  readonly c: readonly CandidateMessage[];
  /** Prompt: weights, tokens, parts. */
  readonly q?: readonly [
    weights: string,
    tokens: number,
    parts: readonly (readonly [id: string, tokens: number])[],
  ];
}

/** Results by their index in an `EndMessage`. */
const results = ["served", "rejected", "lost", "unused"] as const;

/** Absent times and counts are -1. */
type EndMessage = readonly [
  place: string,
  result: number,
  ms: Milliseconds,
  firstMs?: Milliseconds,
  events?: number,
];

/** A message to a dispatcher; all parts but the first two are optional. */
export interface DispatchMessage {
  /** Service. */
  readonly s: string;
  /** Incarnation of the asking box. */
  readonly b: string;
  /** Ticket of the ask: chosen by the box, unique in its incarnation. */
  readonly t?: number;
  /** A new request. */
  readonly a?: AskMessage;
  /** Poll: asks for the decisions on all waiting requests of the box. */
  readonly p?: 1;
  /** Withdrawn tickets. */
  readonly w?: readonly number[];
  /** First bytes: place and time. */
  readonly f?: readonly (readonly [place: string, firstMs: Milliseconds])[];
  /** Ends. */
  readonly e?: readonly EndMessage[];
  /** Sequence up to which the box has the dispatcher's records of capacities; absent if it needs none now. */
  readonly y?: number;
}

/** A decision, with one of the two parts. */
export interface DecisionMessage {
  /** Granted: index of the candidate, place, expected time. */
  readonly g?: readonly [candidate: number, place: string, expectedMs: Milliseconds];
  /** Rejected: reason, time to retry after. */
  readonly r?: readonly [reason: RejectionReason, retryAfterMs: Milliseconds];
}

/** The reply of a dispatcher; beside `c`, at most one part is present. */
export interface DispatchReply extends DecisionMessage {
  /** Declined: the box is stopping, or is itself cut off from the others. */
  readonly d?: 1;
  /** Still waiting: number of requests of the box that wait. */
  readonly w?: number;
  /** Reply to a poll: decisions by ticket. */
  readonly k?: readonly (readonly [ticket: number, decision: DecisionMessage])[];
  /** Capacities that have changed since `y`. */
  readonly c?: CapacityMessage;
}

const absent = -1;
const orAbsent = (value: number | undefined) => (value === undefined ? absent : Math.round(value));
const orUndefined = (value: number | undefined) =>
  value === undefined || value === absent ? undefined : value;

function toCandidateMessage(candidate: DispatchCandidate): CandidateMessage {
  const { target, slots, sameDomain, unreadTokens } = candidate;
  const same = sameDomain ? 1 : 0;
  if (unreadTokens === undefined) return [target, slots, same];
  return [target, slots, same, Math.round(unreadTokens)];
}

export function toAskMessage(request: DispatchRequest): AskMessage {
  const { kind, account, priority, objectiveMs, objectiveLeftMs, timeLeftMs, prompt } = request;
  return {
    k: kind,
    n: account,
    p: priority,
    o: objectiveMs,
    l: Math.round(objectiveLeftMs),
    m: Math.round(timeLeftMs),
    c: request.candidates.map(toCandidateMessage),
    q: prompt && [
      prompt.weights,
      prompt.tokens,
      prompt.parts.map(({ id, tokens }) => [id, tokens] as const),
    ],
  };
}

export function toDispatchRequest(
  { s: service, b: box }: DispatchMessage,
  ask: AskMessage,
): DispatchRequest {
  return {
    service,
    box,
    kind: ask.k,
    account: ask.n,
    priority: ask.p,
    objectiveMs: ask.o,
    objectiveLeftMs: ask.l,
    timeLeftMs: ask.m,
    candidates: ask.c.map(([target, slots, sameDomain, unreadTokens]) => ({
      target,
      slots,
      sameDomain: sameDomain === 1,
      unreadTokens,
    })),
    prompt: ask.q && {
      weights: ask.q[0],
      tokens: ask.q[1],
      parts: ask.q[2].map(([id, tokens]) => ({ id, tokens })),
    },
  };
}

export function toDecisionMessage(
  decision: DispatchDecision,
  candidates: readonly { readonly target: string }[],
): DecisionMessage {
  if (decision.kind === "rejected") {
    return { r: [decision.reason, Math.round(decision.retryAfterMs)] };
  }
  const index = candidates.findIndex(({ target }) => target === decision.target);
  return { g: [index, decision.place, Math.round(decision.expectedMs)] };
}

export function toEndMessage({ place, result, ms, firstMs, events }: DispatchEnd): EndMessage {
  const code = results.indexOf(result);
  if (firstMs === undefined && events === undefined) return [place, code, Math.round(ms)];
  return [place, code, Math.round(ms), orAbsent(firstMs), orAbsent(events)];
}

export function toDispatchEnd([place, code, ms, firstMs, events]: EndMessage): DispatchEnd {
  const result = results[code] ?? "unused";
  return { place, result, ms, firstMs: orUndefined(firstMs), events: orUndefined(events) };
}
