/** What the feed offers, and what it needs. */
import type { ConfigurationCopy, TargetChanges } from "@linkfall/box-peers";
import type { Fleet } from "@linkfall/fleet";
import { type Service, serviceName } from "@linkfall/kernel";
import type { KeyedStreamPort, RecordCodec } from "@linkfall/ports";
import type { ListPosition, Milliseconds } from "@linkfall/types";
import type { ActiveConfiguration } from "./configuration-tracker.js";
import type { StreamFollowerTimes } from "./stream-follower.js";

/** State of the other boxes that the feed depends on. */
export interface FeedPeers {
  /** Whether this box is one of those that read the store. */
  readsStore(): boolean;
  /** Whether any reader of the store that recently sent a heartbeat reaches it. */
  anyReaderReachesStore(): boolean;
}

/** Dependencies and settings of the feed. */
export interface DesiredFeedInput {
  readonly configurationStream: KeyedStreamPort;
  readonly targetStream: KeyedStreamPort;
  readonly codec: RecordCodec;
  readonly fleet: Fleet;
  readonly peers: FeedPeers;
  readonly times: StreamFollowerTimes;
  /** Pause after each read with target changes, which arrive in bursts when models move. */
  readonly coalesceTargetsMs: Milliseconds;
  /** Key of the record that holds the whole configuration. */
  readonly configurationKey: string;
  /** Time after a store outage in which running targets write their entries again. */
  readonly settleMs: Milliseconds;
}

/** Configuration and target list as known to one box. */
export interface DesiredFeed extends Service {
  /** Returns the active configuration, or undefined before the first. */
  activeConfiguration(): ActiveConfiguration | undefined;
  /**
   * Asks the store whether the active configuration is the newest, and applies a newer one; false if the store does not tell within
   * `timeoutMs`.
   */
  confirmConfiguration(timeoutMs: Milliseconds): Promise<boolean>;
  /** Whether both configuration and targets are known. */
  ready(): boolean;
  /** Whether this box currently reads the store itself. */
  readsStore(): boolean;
  /** Whether this box, or else any other reader, reaches the store. */
  reachesStore(): boolean;
  /** Whether the store has served the target list for `settleMs`, so that running targets have renewed their entries. */
  isListSettled(): boolean;
  /**
   * Reads the target list on from where it is known; resolves with whether it is known up to the time of the call. False
   * also while the store may lack running targets.
   */
  catchUpTargets(): Promise<boolean>;
  /** How far the target list is known. */
  targetsPosition(): ListPosition;
  /** Calls the listener when a newer configuration that this box has read from the store is in force. */
  onConfigurationRead(listener: () => void): void;
  /** Returns the active configuration for other boxes. */
  configurationCopy(): ConfigurationCopy;
  /** Applies a configuration received from another box, if it is newer. */
  applyConfigurationCopy(copy: ConfigurationCopy): void;
  /** Returns the changes of the target list from `position` on; all targets if it is of another generation. */
  targetChangesSince(position: ListPosition): TargetChanges;
  /** Applies target changes received from another box, if they are newer. */
  applyTargetChanges(changes: TargetChanges): void;
}

/** Name of the feed in the kernel. */
export const desiredFeedName = serviceName<DesiredFeed>("desired-feed");
