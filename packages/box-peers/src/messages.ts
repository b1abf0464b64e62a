/** Messages that boxes exchange in their heartbeats. */
import type { IntervalObservation } from "@linkfall/engine-speed";
import type { TargetLoad } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { ObservedLease } from "@linkfall/order-lease";
import type { StoreGeneration } from "@linkfall/ports";
import type { CapacityMessage } from "@linkfall/target-capacity";
import type {
  BlameMessage,
  EngineInventory,
  Incarnation,
  DepartureMessage,
  LeavingMessage,
  ListedTarget,
  Milliseconds,
  Offset,
  TargetLimitMessage,
} from "@linkfall/types";

/** Properties of a box that all other boxes need; they rarely change. */
export interface BoxProfile {
  readonly box: string;
  readonly incarnation: Incarnation;
  /** Address for callers. */
  readonly frontAddress: string;
  /** Address for other boxes. */
  readonly peerAddress: string;
  readonly domain: string;
  /** Processor capacity, in cores of the reference speed. */
  readonly capacity: number;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Whether its processor is close to full utilization. */
  readonly strained: boolean;
  /** Whether it recently received requests from callers. */
  readonly takesRequests: boolean;
  /** Whether it reads desired state directly from the store. */
  readonly reading: boolean;
  /** Whether it reaches targets and sends requests there for boxes that do not; absent from earlier versions. */
  readonly relays?: boolean;
  /** Whether it keeps the software versions that began streams; absent from earlier versions. */
  readonly keepsStreams?: boolean;
  /** Whether it grants places at targets to all boxes if it is asked; absent from earlier versions. */
  readonly dispatches?: boolean;
}

/** Position of a box in the lease holder's reports. */
export interface ReportPosition {
  readonly holder: Incarnation;
  readonly engines: number;
  readonly members: number;
  /** Absent from earlier versions. */
  readonly speeds?: number;
}

/** Status of a box, sent by itself. */
export interface BoxStatus extends BoxProfile {
  /** Sequence number of the heartbeat within this incarnation. */
  readonly beat: number;
  readonly reachesStore: boolean;
  readonly configurationVersion: number;
  /** Offset up to which the list of targets has been read. */
  readonly targetsEnd: Offset;
  /** Generation of the store that `targetsEnd` belongs to; absent from earlier versions. */
  readonly targetsGeneration?: StoreGeneration;
  readonly loads: Readonly<Record<string, TargetLoad>>;
  readonly demand: readonly ModelDemand[];
  readonly lease?: ObservedLease;
  /**
   * What is left of the lease time since the sender's last proof, if it holds the lease. Earlier versions, whose proofs are valid for
   * the whole lease time, may issue orders for as long.
   */
  readonly ordersForMs?: Milliseconds;
  /** Remaining time for which the sender may issue orders; absent if it is `ordersForMs`. */
  readonly provenForMs?: Milliseconds;
  readonly followed?: ReportPosition;
  /** Event intervals of streams since the last heartbeat to the lease holder; absent if there are none. */
  readonly intervals?: readonly IntervalObservation[];
  /** Number up to which the sender has received the recipient's records of requests that crash targets. */
  readonly blameFollowed?: number;
  /** Number up to which the sender has received the recipient's records of targets' rate limits. */
  readonly limitsFollowed?: number;
  /** Number up to which the sender has received the recipient's records of fragile targets. */
  readonly fragileFollowed?: number;
  /** Number up to which the sender has received the recipient's notices of leaving targets. */
  readonly leavingFollowed?: number;
  /** Number up to which the sender has received the recipient's departures of targets; absent from earlier versions. */
  readonly departuresFollowed?: number;
}

/** Models loaded in one engine, as read by the lease holder. */
export interface EngineHoldings {
  readonly id: string;
  readonly holdings: EngineInventory;
}

/** A box as observed by another one. */
export interface Sighting extends BoxProfile {
  /** Time since its latest heartbeat. */
  readonly ageMs: Milliseconds;
  /** Whether the sender considers it not alive. */
  readonly silent: boolean;
}

/** Report of the lease holder to one other box. */
export interface LeaseHolderReport {
  /** Engines that have changed since the recipient's last report. */
  readonly engines: readonly EngineHoldings[];
  /** Boxes that have changed since the recipient's last report; absent in a full mesh. */
  readonly members?: readonly Sighting[];
  /** Position of the recipient after it has applied this report. */
  readonly followed: ReportPosition;
  /** Whether the lease holder receives heartbeats from a majority of the boxes it has ever known. */
  readonly hearsMost: boolean;
  readonly withheld: Readonly<Record<string, readonly string[]>>;
  /** Time until models are expected to be loaded, by `service model`. */
  readonly expected: Readonly<Record<string, Milliseconds>>;
  /**
   * The recipient's newest heartbeat (`beat`) if loads have been planned with its demand, else 0; absent from
   * earlier versions.
   */
  readonly plannedBeat?: number;
  /** Speeds of engines that have changed since the recipient's last report; absent if none have. */
  readonly speeds?: CapacityMessage;
  /** Load of all boxes except the recipient, by target; absent in a full mesh. */
  readonly othersLoads?: Readonly<Record<string, TargetLoad>>;
}

/** Changes of the list of targets, for a box that does not read the list from the store. */
export interface TargetChanges {
  /** Offset of the list after these changes. */
  readonly end: Offset;
  /** Generation of the store that `end` belongs to; absent from earlier versions. */
  readonly generation?: StoreGeneration;
  /** Whether `changed` contains the complete list. */
  readonly whole: boolean;
  readonly changed: readonly ListedTarget[];
  readonly gone: readonly string[];
  /** Targets whose entries cannot be parsed; their known state is kept. */
  readonly unreadable?: readonly string[];
}

/** Name and peer address of a box. */
export interface BoxAddress {
  readonly box: string;
  readonly peerAddress: string;
}

/** Message from one box to another; the reply has the same type. */
export interface Heartbeat {
  readonly status: BoxStatus;
  /** A sample of the boxes known to the sender. */
  readonly sightings: readonly Sighting[];
  /** Present if the sender holds the order lease. */
  readonly report?: LeaseHolderReport;
  /** Present if the sender reads the list from the store and the recipient does not. */
  readonly targets?: TargetChanges;
  /** Present if the recipient has an older configuration; absent from earlier versions. */
  readonly configuration?: ConfigurationCopy;
  /** Records of requests that crash targets; absent if the recipient has them all. */
  readonly blame?: BlameMessage;
  /** Records of targets' rate limits; absent if the recipient has them all. */
  readonly limits?: TargetLimitMessage;
  /** Records of fragile targets, with the rejections per second that they survive; absent if the recipient has them all. */
  readonly fragile?: TargetLimitMessage;
  /** Notices of targets that are leaving; absent if the recipient has them all. */
  readonly leaving?: LeavingMessage;
  /** Departures of targets; absent if the recipient has them all, and from earlier versions. */
  readonly departures?: DepartureMessage;
}

/** The configuration as stored, copied from the box that read it. */
export interface ConfigurationCopy {
  readonly version: number;
  readonly text?: string;
}
