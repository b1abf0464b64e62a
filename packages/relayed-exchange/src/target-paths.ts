/** Opens exchanges with targets directly, or by way of another box while this box is cut off from all targets. */
import type { TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { RawHeaders } from "@linkfall/ports";
import type {
  Exchange,
  ExchangeListener,
  ExchangeRequest,
  OpenExchange,
} from "@linkfall/raw-exchange";
import { createDirectPath, type DirectPath, type ExchangeReach } from "./direct-path.js";
import type { FrameStream } from "./frame-stream.js";
import { openRelayedExchange, type RelayedTarget } from "./relayed-exchange.js";

/** A box that sends requests to targets for boxes that do not reach them. */
export interface RelayBox {
  readonly box: string;
  readonly peerAddress: string;
}

export interface PathPorts {
  readonly clock: Clock;
  readonly reach: ExchangeReach;
  readonly openDirect: OpenExchange;
  /** Boxes that may relay now, in the order in which they are to be tried. */
  relays(): readonly RelayBox[];
  /** Opens a stream to a relay for one exchange. */
  dial(relay: RelayBox): FrameStream;
  /** Called when an exchange by way of a relay has ended, with its failure if it failed. */
  onRelayedEnd(relay: RelayBox, target: string, failure?: TargetUnreachable): void;
}

/** What one attempt tells and is told about its path. */
export interface PathHooks {
  /** Headers for the target, with the time that is left now. */
  headers(): RawHeaders;
  /** Called with the name of the box by way of which the exchange is opened. */
  onRelay(box: string): void;
}

export interface TargetPaths {
  /** Returns a function that opens one exchange with the target. */
  opener(target: RelayedTarget, hooks: PathHooks): OpenExchange;
}

/** Maximum number of relays that are tried for one exchange. */
const maxRelays = 2;

const notStarted: Exchange = {
  progress: () => ({ written: false, unsentBytes: 0 }),
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

const noPath: TargetUnreachable = {
  kind: "target_unreachable",
  reason: "cut off from all targets, and no other box can send the request",
  mayHaveArrived: false,
  cause: "no_path",
};

function openByPath(
  ports: PathPorts,
  direct: DirectPath,
  target: RelayedTarget,
  hooks: PathHooks,
  request: ExchangeRequest,
  listener: ExchangeListener,
): Exchange {
  let current = notStarted;
  let aborted = false;
  let relays: RelayBox[] | undefined;

  const openByRelay = () => {
    if (aborted) return;
    relays ??= ports.relays().slice(0, maxRelays);
    const relay = relays.shift();
    if (relay === undefined) return listener.onFailure(noPath);
    hooks.onRelay(relay.box);
    current = openRelayedExchange(
      ports.clock,
      ports.dial(relay),
      target,
      { ...request, headers: hooks.headers() },
      {
        onHead: (head) => listener.onHead(head),
        onBytes: (bytes) => listener.onBytes(bytes),
        onComplete() {
          ports.onRelayedEnd(relay, target.id);
          listener.onComplete();
        },
        onFailure(failure) {
          ports.onRelayedEnd(relay, target.id, failure);
          if (failure.cause === "relay" && !failure.mayHaveArrived) return openByRelay();
          listener.onFailure(failure);
        },
      },
    );
  };

  // The listener must not be called before this function has returned.
  if (ports.reach.isCutOff()) queueMicrotask(openByRelay);
  else current = direct.open(target.id, request, listener, openByRelay);
  return {
    progress: () => current.progress(),
    abort() {
      aborted = true;
      current.abort();
    },
    pause: () => current.pause(),
    resume: () => current.resume(),
  };
}

/** Creates the paths to all targets. */
export function createTargetPaths(ports: PathPorts): TargetPaths {
  const direct = createDirectPath(ports.reach, ports.openDirect);
  return {
    opener: (target, hooks) => (request, listener) =>
      openByPath(ports, direct, target, hooks, request, listener),
  };
}
