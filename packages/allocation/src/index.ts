/**
 * Hands out what all boxes share, such as a limit. For each name one box allocates, so that the sum over all boxes is
 * exact while that box is reached; a box without an answer decides alone, on its own part.
 */
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";

export interface AllocationRequest {
  /** A box that was asked in place of the allocator passes it on: it is answered or declined, not passed on again. */
  readonly passedOn?: boolean;
}

export interface AllocationGrant {
  /** The box may not allocate now: it is cut off from most others itself. */
  readonly declined?: boolean;
}

/** The other boxes, as far as an allocation needs them. */
export interface AllocationPeers<Ask, Grant> {
  /** Addresses of the boxes that may allocate for a name, in the order in which they are asked. */
  allocators(name: string): readonly string[];
  /** Address of this box among them. */
  readonly self: string;
  /** Resolves with a failure where the box does not answer. */
  sendRequest(address: string, ask: Ask): Promise<Either<PeerUnreachable, Grant>>;
  /** Whether this box belongs to the better part of all boxes, which allocates together. */
  connected(): boolean;
}

/** What this box hands out itself. */
export interface LocalAllocator<Ask, Grant> {
  /** For all boxes. */
  grantShared(ask: Ask): Grant;
  /** For this box, from its own part. */
  grantIsolated(ask: Ask): Grant;
  /** This box has been cut off from most others. */
  onDisconnected?(): void;
  /** This box is connected again: others have allocated meanwhile. */
  onReconnected(): void;
  /** Answer of a box that may not allocate. */
  readonly declinedGrant: Grant;
}

export interface DistributedAllocator<Ask, Grant> {
  /** Asks the first allocator that answers; this box decides alone where none does. */
  acquire(ask: Ask): Promise<Grant>;
  /** Allocates for another box that has asked, or asks the allocator for it. */
  allocate(ask: Ask): Promise<Grant>;
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

/**
 * Creates the allocation of one box.
 *
 * @param nameOf what an ask is for; each name has an allocator of its own
 */
export function createDistributedAllocator<
  Ask extends AllocationRequest,
  Grant extends AllocationGrant,
>(
  clock: Clock,
  peers: AllocationPeers<Ask, Grant>,
  allocators: LocalAllocator<Ask, Grant>,
  nameOf: (ask: Ask) => string,
): DistributedAllocator<Ask, Grant> {
  const silentUntil = new Map<string, Milliseconds>();
  let wasConnected = true;

  const isConnected = (): boolean => {
    const connected = peers.connected();
    if (connected && !wasConnected) allocators.onReconnected();
    if (!connected && wasConnected) allocators.onDisconnected?.();
    wasConnected = connected;
    return connected;
  };

  const askOther = async (
    address: string,
    ask: Ask,
    limitMs: Milliseconds,
  ): Promise<Grant | undefined> => {
    const answer = await within(clock, limitMs, peers.sendRequest(address, ask));
    const grant = answer?.toMaybe().extract();
    if (!grant || grant.declined) silentUntil.set(address, clock.now() + passOverMs);
    return grant?.declined ? undefined : grant;
  };

  /** Boxes that may allocate for the name, without those that did not answer lately. */
  const answeringFor = (name: string): readonly string[] =>
    peers.allocators(name).filter((address) => (silentUntil.get(address) ?? 0) <= clock.now());

  const obtain = async (ask: Ask): Promise<Grant> => {
    if (!isConnected()) return allocators.grantIsolated(ask);
    const answering = answeringFor(nameOf(ask));
    for (const [index, address] of answering.slice(0, mostAsked).entries()) {
      if (address === peers.self) return allocators.grantShared(ask);
      const grant = await askOther(address, ask, index === 0 ? answerMs : passedOnAnswerMs);
      if (grant) return grant;
    }
    return allocators.grantIsolated(ask);
  };

  /**
   * Answers a box that has asked this one. If another box comes first here, the asking box does not reach it: the ask
   * is passed on, so that there is one allocator as long as any two boxes reach it. Without that two boxes hand
   * out one limit under partial cuts.
   */
  const allocate = async (ask: Ask): Promise<Grant> => {
    if (!isConnected()) return allocators.declinedGrant;
    const [first] = answeringFor(nameOf(ask));
    if (first === undefined || first === peers.self || ask.passedOn)
      return allocators.grantShared(ask);
    const grant = await askOther(first, { ...ask, passedOn: true }, answerMs);
    return grant ?? allocators.grantShared(ask);
  };

  return { acquire: obtain, allocate };
}
