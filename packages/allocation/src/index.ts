/**
 * Allocates a resource that all boxes share, such as a rate limit. One box allocates each key, which keeps the total
 * exact while that box is reachable; a box that reaches no allocator grants from its own share.
 */
import type { PeerUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Milliseconds } from "@linkfall/types";
import type { Either } from "purify-ts";

export interface AllocationRequest {
  /** Set on a request that another box has forwarded to the allocator; such a request is not forwarded again. */
  readonly passedOn?: boolean;
}

export interface AllocationGrant {
  /** The receiver may not allocate because it is isolated from the majority itself. */
  readonly declined?: boolean;
}

/** Access to the other boxes. */
export interface AllocationPeers<Request, Grant> {
  /** Addresses of the boxes that may allocate a key, in order of preference. */
  allocators(key: string): readonly string[];
  /** Address of this box, as in `allocators`. */
  readonly self: string;
  /** Sends a request to another box; resolves to a failure if there is no response. */
  sendRequest(address: string, request: Request): Promise<Either<PeerUnreachable, Grant>>;
  /** Whether this box is connected to the majority of boxes. */
  connected(): boolean;
}

/** Grants on behalf of this box, without calls to others. */
export interface LocalAllocator<Request, Grant> {
  /** Grants as the allocator for all boxes. */
  grantShared(request: Request): Grant;
  /** Grants to this box only, from its own share. */
  grantIsolated(request: Request): Grant;
  /** Called when this box has lost its connection to the majority. */
  onDisconnected?(): void;
  /** Called when this box is connected again; other boxes have allocated in the meantime. */
  onReconnected(): void;
  /** Response of a box that may not allocate. */
  readonly declinedGrant: Grant;
}

export interface DistributedAllocator<Request, Grant> {
  /** Requests a grant from the first allocator that responds; falls back to this box's own share. */
  acquire(request: Request): Promise<Grant>;
  /** Handles the request of another box, by allocating or by forwarding it to the allocator. */
  allocate(request: Request): Promise<Grant>;
}

/** Timeout of a request, a fraction of the shortest latency objectives. */
const requestTimeoutMs: Milliseconds = 120;
/** Timeout of a request to a fallback allocator, which may first try to forward it to the preferred one. */
const fallbackTimeoutMs: Milliseconds = 2 * requestTimeoutMs;
/**
 * Time for which an allocator that did not respond is skipped. Until every box has retried it, two boxes may allocate
 * the same key, so this must be less than the time in which the tolerated excess is used up.
 */
const unresponsiveSkipMs: Milliseconds = 800;
/** Number of allocators tried for one request before granting from the own share. */
const maxAttempts = 2;

/** Resolves to undefined if the promise does not settle within the timeout. */
function withTimeout<T>(
  clock: Clock,
  timeoutMs: Milliseconds,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const cancel = clock.after(timeoutMs, () => resolve(undefined));
    void promise.then((value) => {
      cancel();
      resolve(value);
    });
  });
}

/**
 * Creates the allocator of one box.
 *
 * @param keyOf returns the key of a request; each key is allocated separately
 */
export function createDistributedAllocator<
  Request extends AllocationRequest,
  Grant extends AllocationGrant,
>(
  clock: Clock,
  peers: AllocationPeers<Request, Grant>,
  local: LocalAllocator<Request, Grant>,
  keyOf: (request: Request) => string,
): DistributedAllocator<Request, Grant> {
  const skippedUntil = new Map<string, Milliseconds>();
  let wasConnected = true;

  /** Checks the connection and notifies the local allocator of a change. */
  const checkConnected = (): boolean => {
    const connected = peers.connected();
    if (connected && !wasConnected) local.onReconnected();
    if (!connected && wasConnected) local.onDisconnected?.();
    wasConnected = connected;
    return connected;
  };

  const requestFrom = async (
    address: string,
    request: Request,
    timeoutMs: Milliseconds,
  ): Promise<Grant | undefined> => {
    const response = await withTimeout(clock, timeoutMs, peers.sendRequest(address, request));
    const grant = response?.toMaybe().extract();
    if (!grant || grant.declined) skippedUntil.set(address, clock.now() + unresponsiveSkipMs);
    return grant?.declined ? undefined : grant;
  };

  /** Allocators of the key, except those that recently failed to respond. */
  const candidatesFor = (key: string): readonly string[] =>
    peers.allocators(key).filter((address) => (skippedUntil.get(address) ?? 0) <= clock.now());

  const acquire = async (request: Request): Promise<Grant> => {
    if (!checkConnected()) return local.grantIsolated(request);
    const candidates = candidatesFor(keyOf(request));
    for (const [index, address] of candidates.slice(0, maxAttempts).entries()) {
      if (address === peers.self) return local.grantShared(request);
      const grant = await requestFrom(
        address,
        request,
        index === 0 ? requestTimeoutMs : fallbackTimeoutMs,
      );
      if (grant) return grant;
    }
    return local.grantIsolated(request);
  };

  /**
   * Forwards the request if this box prefers another allocator, which the sender apparently cannot reach. Without
   * this, two boxes would allocate the same key during a partial network partition.
   */
  const allocate = async (request: Request): Promise<Grant> => {
    if (!checkConnected()) return local.declinedGrant;
    const [first] = candidatesFor(keyOf(request));
    if (first === undefined || first === peers.self || request.passedOn)
      return local.grantShared(request);
    const grant = await requestFrom(first, { ...request, passedOn: true }, requestTimeoutMs);
    return grant ?? local.grantShared(request);
  };

  return { acquire, allocate };
}
