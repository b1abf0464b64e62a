/** What boxes tell each other in their heartbeats. */
import type { TargetLoad } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { ObservedLease } from "@linkfall/order-lease";
import type {
  BlameMessage,
  EngineInventory,
  Incarnation,
  ListedTarget,
  Milliseconds,
  Offset,
  TargetLimitMessage,
} from "@linkfall/types";

/** What every box has to know of every other one. It changes seldom. */
export interface BoxProfile {
  readonly box: string;
  readonly incarnation: Incarnation;
  /** Where callers connect. */
  readonly frontAddress: string;
  /** Where other boxes connect. */
  readonly peerAddress: string;
  readonly domain: string;
  /** What it can carry, in cores of one speed. */
  readonly capacity: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** It has little of its processor left. */
  readonly strained: boolean;
  /** Callers have sent it requests lately. */
  readonly takesRequests: boolean;
  /** It reads desired state from the store itself. */
  readonly reading: boolean;
}

/** How far a box has followed the reports of the holder of the order lease. */
export interface ReportPosition {
  readonly holder: Incarnation;
  readonly engines: number;
  readonly members: number;
}

/** One box, as it tells of itself. */
export interface BoxStatus extends BoxProfile {
  /** Grows with each heartbeat of this incarnation. */
  readonly beat: number;
  readonly reachesStore: boolean;
  readonly configurationVersion: number;
  /** How far the list of targets has been read. */
  readonly targetsEnd: Offset;
  readonly loads: Readonly<Record<string, TargetLoad>>;
  readonly demand: readonly ModelDemand[];
  readonly lease?: ObservedLease;
  /** Time for which the sender may go on giving orders, where it may. */
  readonly ordersForMs?: Milliseconds;
  readonly followed?: ReportPosition;
  /** How far the sender has followed the reader in what boxes tell of requests that end targets. */
  readonly blameFollowed?: number;
  /** How far the sender has followed the reader in what boxes tell of targets' limits. */
  readonly limitsFollowed?: number;
}

/** What one engine holds, as the holder of the order lease has read it. */
export interface EngineHoldings {
  readonly id: string;
  readonly holdings: EngineInventory;
}

/** A box as another one has heard of it. */
export interface Sighting extends BoxProfile {
  /** Time since it was heard. */
  readonly ageMs: Milliseconds;
  /** The sender takes it for gone. */
  readonly silent: boolean;
}

/** What the holder of the order lease tells one other box. */
export interface LeaseHolderReport {
  /** Engines that have changed since the reader's last report. */
  readonly engines: readonly EngineHoldings[];
  /** Boxes that have changed since the reader's last report; absent where all boxes hear each other. */
  readonly members?: readonly Sighting[];
  /** How far the reader has followed once it has taken this. */
  readonly followed: ReportPosition;
  /** The holder hears most of the boxes that it ever knew. */
  readonly hearsMost: boolean;
  readonly withheld: Readonly<Record<string, readonly string[]>>;
  /** Time until models are there, by `service model`. */
  readonly expected: Readonly<Record<string, Milliseconds>>;
  /** Requests of all boxes but the reader, by target; absent where the reader hears all boxes. */
  readonly othersLoads?: Readonly<Record<string, TargetLoad>>;
}

/** Changes of the list of targets, for a box that does not read it from the store. */
export interface TargetChanges {
  /** The list as of this offset. */
  readonly end: Offset;
  /** `changed` is the whole list. */
  readonly whole: boolean;
  readonly changed: readonly ListedTarget[];
  readonly gone: readonly string[];
  /** Targets whose entries can't be read: they are left alone. */
  readonly unreadable?: readonly string[];
}

/** Where another box can be asked. */
export interface BoxAddress {
  readonly box: string;
  readonly peerAddress: string;
}

/** One message between two boxes; its answer has the same form. */
export interface Heartbeat {
  readonly status: BoxStatus;
  /** Some of the boxes that the sender knows. */
  readonly sightings: readonly Sighting[];
  /** Present where the sender holds the order lease. */
  readonly report?: LeaseHolderReport;
  /** Present where the sender reads the list and the reader does not. */
  readonly targets?: TargetChanges;
  /** What the sender knows of requests that end targets; absent where the reader knows it. */
  readonly blame?: BlameMessage;
  /** What the sender knows of targets' limits; absent where the reader knows it. */
  readonly limits?: TargetLimitMessage;
}

/** The configuration as one box has read it, in the form in which the store gave it. */
export interface ConfigurationCopy {
  readonly version: number;
  readonly text?: string;
}
