/** Interface of the judgement whether this box has lost its links to all targets, and what it depends on. */
import { serviceName } from "@linkfall/kernel";
import type { ListenerStatus } from "@linkfall/ports";
import type { ListedTarget, Milliseconds } from "@linkfall/types";

/** What is needed of a target to check whether it can be reached. */
export type CheckedTarget = Pick<ListedTarget, "id" | "address" | "service" | "domain">;

/** What the judgement depends on. */
export interface ReachPorts {
  /** Targets that should accept connections. */
  targets(): readonly CheckedTarget[];
  /** Opens a connection to `host:port` and closes it; resolves within `ReachOptions.checkTimeoutMs` by its own means. */
  isListening(address: string): Promise<ListenerStatus>;
  /** Names of the other live boxes that say that they reach targets. */
  relayingBoxes(): readonly string[];
}

/** Sizes and times of the judgement. */
export interface ReachOptions {
  /** Targets that are checked at once in each round; a later round follows only if no target of the earlier ones listens. */
  readonly checkRounds: readonly number[];
  /** Time in which other boxes can tell that they reach no target either. */
  readonly confirmMs: Milliseconds;
  /** Pause after a suspicion that was dropped, which bounds the rate of checks while many targets are down. */
  readonly pauseMs: Milliseconds;
  /** Mean interval of the connection attempts while no target is reached. */
  readonly probeIntervalMs: Milliseconds;
  /** A cut that begins within this time of the previous return makes the next return need more rounds. */
  readonly flapWindowMs: Milliseconds;
  /** Maximum number of rounds in a row that a return needs. */
  readonly maxReturnRounds: number;
}

export interface TargetReach {
  /** Records a connection to a target that was established directly. */
  recordConnected(target: string): void;
  /** Records a direct connection to a target that was refused or not established in time. */
  recordConnectFailure(target: string, reason: string): void;
  /** Whether this box takes itself for cut off from all targets while another box reaches some. */
  isCutOff(): boolean;
  /** Whether nothing speaks against this box reaching targets; false also if no box reaches any. */
  reachesTargets(): boolean;
  /** Time of the first failed connection of the current suspicion or cut; undefined if there is none. */
  suspectedSince(): Milliseconds | undefined;
  /** Resolves once a suspicion that is being checked has been confirmed or dropped; at once if there is none. */
  whenSettled(): Promise<void>;
  /**
   * Checks without a suspicion whether any target can be reached, unless a direct connection was established in the last
   * `maxAgeMs`; resolves like `whenSettled`.
   */
  verify(maxAgeMs?: Milliseconds): Promise<void>;
  /** Judges again after news of other boxes. */
  reassess(): void;
  /**
   * Calls the listener when `isCutOff` changes; `since` is the time of the first failed connection that led to the cut.
   */
  onChange(listener: (isCutOff: boolean, since: Milliseconds) => void): void;
  /** Calls the listener when `reachesTargets` changes. */
  onReachChange(listener: (reachesTargets: boolean) => void): void;
  /** Ends the connection attempts. */
  stop(): Promise<void>;
}

/** Name of the judgement in the kernel. */
export const targetReachName = serviceName<TargetReach>("target-reach");
