/** Which target a request goes to now, or what it has to wait for. */
import { type Fleet, holds, type TargetBelief } from "@linkfall/fleet";
import type { Random } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import { type Candidate, type Choice, chooseTarget } from "@linkfall/target-choice";
import { type ForwardedRequest, weightsOf } from "./forwarded-request.js";
import type { WorkCostMeter } from "./work-costs.js";

export type Pick =
  | {
      readonly kind: "target";
      readonly target: TargetBelief;
      readonly choice: Choice;
      /** Other targets that could serve the request. */
      readonly others: number;
    }
  /** No target holds the weights now. */
  | { readonly kind: "weights_missing" }
  /** Every target that could serve it has been tried. */
  | { readonly kind: "all_tried" }
  | { readonly kind: "no_target" };

function toCandidate(
  belief: TargetBelief,
  request: ForwardedRequest,
  domain: string,
  costs: WorkCostMeter,
): Candidate {
  const { terms } = request;
  const parts = terms.parts;
  const kept = belief.prefixes.kept({ weights: weightsOf(terms), parts });
  return {
    id: belief.listed.id,
    slots: belief.listed.slots,
    inFlight: belief.own.inFlight + belief.others.inFlight,
    queuedTokens: belief.own.promptTokens + belief.others.promptTokens,
    unreadTokens: Math.max(0, terms.promptTokens - kept),
    sameDomain: belief.listed.domain === domain,
    costs: costs.of(request.service.name, belief.listed.id),
  };
}

function holdsWeights(belief: TargetBelief, request: ForwardedRequest, now: Milliseconds): boolean {
  const { model, adapter } = request.terms;
  if (!request.service.engine || model === undefined) return true;
  return holds(belief, model, adapter, now);
}

/** Picks a target for the request. */
export function pickTarget(
  fleet: Fleet,
  request: ForwardedRequest,
  costs: WorkCostMeter,
  domain: string,
  random: Random,
  now: Milliseconds,
): Pick {
  const usable = fleet.usable(request.service.name);
  if (usable.length === 0) return { kind: "no_target" };
  const holding = usable.filter((belief) => holdsWeights(belief, request, now));
  if (holding.length === 0) return { kind: "weights_missing" };
  const untried = holding.filter((belief) => !request.tried.has(belief.listed.id));
  const candidates = untried.map((belief) => toCandidate(belief, request, domain, costs));
  const choice = chooseTarget(candidates, random);
  if (!choice) return { kind: "all_tried" };
  const target = untried.find((belief) => belief.listed.id === choice.id);
  return target
    ? { kind: "target", target, choice, others: untried.length - 1 }
    : { kind: "all_tried" };
}
