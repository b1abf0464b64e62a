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
  /**
   * Set on a request that asks for nothing but corrects how much the recipient has granted: another box has granted it
   * in the recipient's place, or the recipient's own grant arrived too late and went unused.
   */
  readonly correction?: "granted_elsewhere" | "unused";
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
  /** Applies a request with a `correction`. */
  correct(request: Request): void;
  /** A request for exactly what was granted, to correct it at another allocator; undefined if nothing was granted. */
  toCorrection(request: Request, grant: Grant): Request | undefined;
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

  const sendCorrection = (
    address: string,
    request: Request,
    grant: Grant,
    correction: AllocationRequest["correction"],
  ) => {
    const corrected = local.toCorrection(request, grant);
    // The outcome doesn't matter: a box that cannot be reached does not grant to others either.
    if (corrected) void peers.sendRequest(address, { ...corrected, passedOn: true, correction });
  };

  /** Returns a grant that arrives after its timeout, when another allocator has granted the request. */
  const returnLateGrant = async (
    address: string,
    request: Request,
    pending: Promise<Either<PeerUnreachable, Grant>>,
  ) => {
    (await pending).ifRight((grant) => {
      if (!grant.declined) sendCorrection(address, request, grant, "unused");
    });
  };

  const requestFrom = async (
    address: string,
    request: Request,
    timeoutMs: Milliseconds,
  ): Promise<Grant | undefined> => {
    const pending = peers.sendRequest(address, request);
    const response = await withTimeout(clock, timeoutMs, pending);
    if (!response) void returnLateGrant(address, request, pending);
    const grant = response?.toMaybe().extract();
    if (!grant || grant.declined) skippedUntil.set(address, clock.now() + unresponsiveSkipMs);
    return grant?.declined ? undefined : grant;
  };

  /** Allocators of the key, except those that recently failed to respond. */
  const candidatesFor = (key: string): readonly string[] =>
    peers.allocators(key).filter((address) => (skippedUntil.get(address) ?? 0) <= clock.now());

  /**
   * Grants for all boxes. In place of another box, which may be slow but still granting to others, the grant is deducted
   * there as well; otherwise the two would hand out the limit twice.
   */
  const grantForAll = (request: Request): Grant => {
    const grant = local.grantShared(request);
    const [preferred] = peers.allocators(keyOf(request));
    if (preferred !== undefined && preferred !== peers.self) {
      sendCorrection(preferred, request, grant, "granted_elsewhere");
    }
    return grant;
  };

  const acquire = async (request: Request): Promise<Grant> => {
    if (!checkConnected()) return local.grantIsolated(request);
    const [preferred] = peers.allocators(keyOf(request));
    for (const address of candidatesFor(keyOf(request)).slice(0, maxAttempts)) {
      if (address === peers.self) return grantForAll(request);
      const timeoutMs = address === preferred ? requestTimeoutMs : fallbackTimeoutMs;
      const grant = await requestFrom(address, request, timeoutMs);
      if (grant) return grant;
      // The connection may have been lost during the wait.
      if (!checkConnected()) break;
    }
    return local.grantIsolated(request);
  };

  /**
   * Forwards the request if this box prefers another allocator, which the sender apparently cannot reach. Without
   * this, two boxes would allocate the same key during a partial network partition.
   */
  const allocate = async (request: Request): Promise<Grant> => {
    if (!checkConnected()) return local.declinedGrant;
    if (request.correction) {
      local.correct(request);
      return local.declinedGrant;
    }
    const [first] = candidatesFor(keyOf(request));
    if (first === undefined || first === peers.self || request.passedOn)
      return grantForAll(request);
    const grant = await requestFrom(first, { ...request, passedOn: true }, requestTimeoutMs);
    if (grant) return grant;
    return checkConnected() ? grantForAll(request) : local.declinedGrant;
  };

  return { acquire, allocate };
}
