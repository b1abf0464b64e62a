/**
 * Chooses the engine at which the first event of a response is expected soonest. The scheduled resource is the engine's
 * prefill: prompts granted and not yet read, and what the engine has to read of this one. Requests are not queued here, as
 * engines order theirs by urgency.
 */
import { createPrefixIndex, type PrefixIndex } from "@linkfall/prefix-index";
import type { TargetCapacities } from "@linkfall/target-capacity";
import type { Milliseconds } from "@linkfall/types";
import type { ServiceTargets } from "./service-capacity.js";
import { adoptedShare, type Place, type TargetState } from "./target-state.js";
import type { DispatchCandidate, DispatchPrompt, DispatchRequest } from "./types.js";

export const prefillKind = "prefill";
export const decodeKind = "decode";

/** A prompt that an engine has not read completely. */
interface Reading {
  readonly place: string;
  readonly tokens: number;
  /** When it is expected to be read. */
  readonly readAt: Milliseconds;
  /** When it is taken for read although nothing was reported. */
  readonly dropAt: Milliseconds;
}

interface EngineState {
  readonly index: PrefixIndex;
  /** In the order in which they were granted. */
  readonly reading: Reading[];
  /** Last time at which a prompt was known to have been read. */
  readAt: Milliseconds;
  /** Mean time for which a request holds a slot. */
  holdMs: Milliseconds;
}

export interface EnginePlan {
  readonly target: TargetState;
  readonly firstMs: Milliseconds;
  /** Tokens that the engine has to read. */
  readonly unread: number;
  readonly ownReadMs: Milliseconds;
  /** Whether the engine has nothing to read and more than half of its slots are free. */
  readonly isIdle: boolean;
}

export interface EnginePrefill {
  choose(request: DispatchRequest, prompt: DispatchPrompt): EnginePlan | undefined;
  granted(place: Place, prompt: DispatchPrompt, firstMs: Milliseconds): void;
  /** The engine has read the prompt; the time since the grant is reported by the box. */
  read(place: Place, firstMs: Milliseconds): void;
  ended(place: Place, ms: Milliseconds, firstMs: Milliseconds | undefined, events: number): void;
  /** Drops a place whose request was not served. */
  dropped(place: Place): void;
  expire(): void;
}

/** Time that a prompt may take beyond its expected time before it is taken for read, as a part of that time. */
const overdueFactor = 1.5;
/** Time for the report of the first bytes. */
const reportMs: Milliseconds = 50;
/** Running streams pause while a prompt is read; a part of that time counts for each engine, by its slots in use. */
const pauseWeight = 0.25;
/** A target in another failure domain costs a round trip and traffic between domains. */
const otherDomainMs: Milliseconds = 3;
const initialHoldMs: Milliseconds = 1_000;
const holdSmoothing = 0.1;
const maxReading = 500;

export function createEnginePrefill(
  now: () => Milliseconds,
  targets: ServiceTargets,
  capacities: TargetCapacities,
  prefixTokens: number,
): EnginePrefill {
  const engines = new Map<string, EngineState>();

  const stateOf = (target: TargetState): EngineState => {
    let state = engines.get(target.name);
    if (!state) {
      const index = createPrefixIndex(prefixTokens);
      state = { index, reading: [], readAt: -Infinity, holdMs: initialHoldMs };
      if (targets.get(target.name)) engines.set(target.name, state);
    }
    return state;
  };

  const prefillMs = (target: TargetState, tokens: number, concurrency: number) =>
    capacities.expectedMs(target.name, prefillKind, tokens, concurrency);

  /** Tokens granted and not read. What was read of the first prompt isn't reported, so it follows from the time since. */
  const pendingTokens = (target: TargetState, state: EngineState): number => {
    const { reading } = state;
    // Responses that are not streams don't report that the prompt was read.
    while (reading.length > 0 && now() > reading[0].dropAt) reading.shift();
    let tokens = 0;
    for (const prompt of reading) tokens += prompt.tokens;
    if (reading.length > 0) {
      const readMs = prefillMs(target, reading[0].tokens, 1);
      const leftMs = Math.max(0, reading[0].readAt - now());
      if (readMs > 0) tokens -= reading[0].tokens * Math.max(0, 1 - leftMs / readMs);
    }
    if (target.adopted.promptTokens > 0)
      tokens += target.adopted.promptTokens * adoptedShare(target, Infinity, now());
    return tokens;
  };

  const unreadAt = (state: EngineState, prompt: DispatchPrompt, candidate: DispatchCandidate) => {
    const own = prompt.tokens - state.index.cachedTokens(prompt);
    return Math.max(1, Math.min(own, candidate.unreadTokens ?? prompt.tokens));
  };

  /** Time until one of the engine's slots is free. */
  const slotMs = (target: TargetState, state: EngineState) => {
    const beyond = target.places.size + 1 - target.slots;
    return beyond <= 0 ? 0 : (beyond * state.holdMs) / target.slots;
  };

  const plan = (candidate: DispatchCandidate, prompt: DispatchPrompt): EnginePlan => {
    const target = targets.list(candidate.target, candidate.slots);
    const state = stateOf(target);
    const pending = pendingTokens(target, state);
    const unread = unreadAt(state, prompt, candidate);
    const concurrency = target.places.size + 1;
    const firstMs = prefillMs(target, pending + unread, concurrency) + slotMs(target, state);
    const ownReadMs = prefillMs(target, unread, concurrency);
    const isIdle = state.reading.length === 0 && target.places.size < target.slots / 2;
    return { target, firstMs, unread, ownReadMs, isIdle };
  };

  const removeReading = (place: Place): Reading | undefined => {
    const reading = engines.get(place.target.name)?.reading ?? [];
    const index = reading.findIndex((prompt) => prompt.place === place.id);
    return index < 0 ? undefined : reading.splice(index, 1)[0];
  };

  return {
    choose(request, prompt) {
      let best: EnginePlan | undefined;
      let bestRank = Infinity;
      for (const candidate of request.candidates) {
        const planned = plan(candidate, prompt);
        const load = planned.target.places.size / planned.target.slots;
        const pauseMs = pauseWeight * load * planned.ownReadMs;
        const rank = planned.firstMs + pauseMs + (candidate.sameDomain ? 0 : otherDomainMs);
        if (rank >= bestRank) continue;
        best = planned;
        bestRank = rank;
      }
      return best;
    },
    granted(place, prompt, firstMs) {
      const state = stateOf(place.target);
      state.index.record(prompt);
      const { id, tokens, isStream } = place;
      if (state.reading.length >= maxReading) state.reading.shift();
      const readAt = now() + firstMs;
      const dropAt = isStream ? readAt + overdueFactor * firstMs + reportMs : readAt;
      state.reading.push({ place: id, tokens, readAt, dropAt });
    },
    read(place, firstMs) {
      const state = engines.get(place.target.name);
      if (!state || !removeReading(place)) return;
      // Times are compared as the box measured them from the grant, without the delay of the report.
      const readAt = Math.min(now(), place.grantedAt + firstMs);
      const beganAt = Math.max(place.grantedAt, Math.min(state.readAt, readAt));
      state.readAt = Math.max(state.readAt, readAt);
      const durationMs = readAt - beganAt;
      if (durationMs <= 0) return;
      const { target, box, concurrency, tokens } = place;
      capacities.observe({
        target: target.name,
        kind: prefillKind,
        observer: box,
        concurrency,
        amount: tokens,
        durationMs,
      });
    },
    ended(place, ms, firstMs, events) {
      const state = engines.get(place.target.name);
      removeReading(place);
      if (state) state.holdMs += holdSmoothing * (ms - state.holdMs);
      if (firstMs === undefined || events < 2 || ms <= firstMs) return;
      const { target, box, concurrency } = place;
      capacities.observe({
        target: target.name,
        kind: decodeKind,
        observer: box,
        concurrency,
        amount: events - 1,
        durationMs: ms - firstMs,
      });
    },
    dropped: (place) => void removeReading(place),
    expire() {
      for (const name of engines.keys()) if (!targets.get(name)) engines.delete(name);
    },
  };
}
