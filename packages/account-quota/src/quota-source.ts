/** Where a box gets units from: the account's allocator, the next in rank, or its own part. */
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";
import { type AllottedUnits, createAllotments } from "./allotments.js";
import { createQuotaAllocator } from "./allocator.js";
import type { QuotaAsk, QuotaGrant, QuotaRate } from "./messages.js";

/** What may be let through beyond the limit in one window, over all boxes. */
export interface QuotaTolerance {
  readonly windowSeconds: number;
  /** Share of the limit. */
  readonly overage: number;
  /** Units beside that share. */
  readonly slack: number;
}

/** The other boxes, as far as the limits need them. */
export interface QuotaPeers {
  /** Addresses of the boxes that may allocate for an account, in the order in which they are asked. */
  allocators(account: string): readonly string[];
  /** Address of this box among them. */
  readonly self: string;
  /** Resolves with a failure where the box does not answer. */
  ask(address: string, ask: QuotaAsk): Promise<Either<PeerUnreachable, QuotaGrant>>;
  /** Whether this box belongs to the better part of all boxes, which allocates together. */
  connected(): boolean;
  /** Part of each limit that is this box's own while it is cut off. */
  ownPart(): number;
  /** Parts of the boxes that are silent, and may be serving callers by their own parts. */
  silentPart(): number;
  /** Hears of each decision that this box has taken alone, on a part of an account's limit. */
  onAlone?(account: string, granted: number, part: number): void;
  /** Hears, each second at most, what this box has allotted of an account's limit that runs short. */
  onShort?(allotted: AllottedUnits): void;
}

export interface QuotaSource {
  /** Asks the first allocator that answers; this box decides alone where none does. */
  obtain(ask: QuotaAsk): Promise<QuotaGrant>;
  /** Allocates for another box that has asked, or asks the allocator for it. */
  allocate(ask: QuotaAsk): Promise<QuotaGrant>;
}

/** A box that does not answer within this time is passed over: a fraction of the shortest objectives. */
const answerMs: Milliseconds = 120;
/** The same for a box that may first have to find out that the one before it does not answer. */
const passedOnAnswerMs: Milliseconds = 2 * answerMs;
/**
 * A box that did not answer is not asked again for this long. Until all have asked it again, two boxes may hand out
 * one limit: this has to stay under the time in which a hot account uses up what is tolerated.
 */
const passOverMs: Milliseconds = 800;
/** Boxes that are asked for one request before this one decides alone. */
const mostAsked = 2;
/**
 * Part of the tolerance that a new allocator starts with: the one before it, units at hand at the boxes, and boxes
 * that do not know yet that they are cut off share the rest.
 */
const firstShare = 0.22;

/** However many boxes are silent, this part of a limit is left to those that are not. */
const leastConnectedPart = 0.5;

const declined: QuotaGrant = { granted: 0, waitMs: 0, declined: true };
function toleranceOf(rate: QuotaRate, tolerance: QuotaTolerance): number {
  const limit = rate.perSecond * tolerance.windowSeconds + rate.burst;
  return limit * tolerance.overage + tolerance.slack;
}

function partOfRate({ perSecond, burst }: QuotaRate, part: number): QuotaRate {
  return { perSecond: perSecond * part, burst: burst * part };
}

/** Resolves with undefined when the answer does not come in time. */
function within<T>(
  clock: Clock,
  limitMs: Milliseconds,
  answer: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const cancel = clock.after(limitMs, () => resolve(undefined));
    void answer.then((value) => {
      cancel();
      resolve(value);
    });
  });
}

/** Creates the source of one box. */
export function createQuotaSource(
  clock: Clock,
  peers: QuotaPeers,
  tolerance: QuotaTolerance,
): QuotaSource {
  const silentUntil = new Map<string, Milliseconds>();
  const firstLevel = (rate: QuotaRate) => toleranceOf(rate, tolerance) * firstShare;
  const shared = createQuotaAllocator(clock, firstLevel);
  /** Used while this box is cut off; its rates are a part of the limits. */
  const alone = createQuotaAllocator(clock, (rate) => rate.burst);
  const allotments = createAllotments(clock, (allotted) => peers.onShort?.(allotted));
  let wasConnected = true;

  const allocateAlone = (ask: QuotaAsk): QuotaGrant => {
    // The burst itself may have been used by the box that allocated until now.
    const whole = { perSecond: ask.rate.perSecond, burst: firstLevel(ask.rate) };
    const part = peers.ownPart();
    const grant = alone.grant({ ...ask, ahead: 0, rate: partOfRate(whole, part) });
    peers.onAlone?.(ask.account, grant.granted, part);
    return grant;
  };

  /** Whether this box may allocate; what it knows of before it was cut off says little afterwards. */
  const isConnected = (): boolean => {
    const connected = peers.connected();
    if (connected && !wasConnected) shared.restart();
    wasConnected = connected;
    return connected;
  };

  /** Boxes that are silent may serve callers by their own parts, so that these are not to be had here. */
  const allocateShared = (ask: QuotaAsk): QuotaGrant => {
    const part = Math.max(leastConnectedPart, 1 - peers.silentPart());
    const grant = shared.grant({ ...ask, rate: partOfRate(ask.rate, part) });
    allotments.note(ask.account, grant, part);
    return grant;
  };

  const askOther = async (
    address: string,
    ask: QuotaAsk,
    limitMs: Milliseconds,
  ): Promise<QuotaGrant | undefined> => {
    const answer = await within(clock, limitMs, peers.ask(address, ask));
    const grant = answer?.toMaybe().extract();
    if (!grant || grant.declined) silentUntil.set(address, clock.now() + passOverMs);
    return grant?.declined ? undefined : grant;
  };

  /** Boxes that may allocate for the account, without those that did not answer lately. */
  const answeringFor = (account: string): readonly string[] =>
    peers.allocators(account).filter((address) => (silentUntil.get(address) ?? 0) <= clock.now());

  /** Asks the first allocator that answers; this box decides alone where none does. */
  const obtain = async (ask: QuotaAsk): Promise<QuotaGrant> => {
    if (!isConnected()) return allocateAlone(ask);
    const answering = answeringFor(ask.account);
    for (const [index, address] of answering.slice(0, mostAsked).entries()) {
      if (address === peers.self) return allocateShared(ask);
      const grant = await askOther(address, ask, index === 0 ? answerMs : passedOnAnswerMs);
      if (grant) return grant;
    }
    return allocateAlone(ask);
  };

  /**
   * Answers a box that has asked this one. If another box comes first here, the asking box does not reach it: the ask
   * is passed on, so that there is one allocator as long as any two boxes reach it. Without that two boxes hand
   * out one limit under partial cuts.
   */
  const allocate = async (ask: QuotaAsk): Promise<QuotaGrant> => {
    if (!isConnected()) return declined;
    const [first] = answeringFor(ask.account);
    if (first === undefined || first === peers.self || ask.passedOn) return allocateShared(ask);
    const grant = await askOther(first, { ...ask, passedOn: true }, answerMs);
    return grant ?? allocateShared(ask);
  };

  return { obtain, allocate };
}
