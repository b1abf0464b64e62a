/** What boxes tell each other. */
import type { TargetLoad } from "@linkfall/fleet";
import type { ModelDemand } from "@linkfall/model-demand";
import type { LeaseWord } from "@linkfall/order-lease";
import type { Holdings, Incarnation, Milliseconds, Offset } from "@linkfall/types";

/** What one engine holds, as the holder of the order lease has read it. */
export interface EngineWordOfHolder {
  readonly id: string;
  readonly holdings: Holdings;
}

/** What the holder of the order lease tells the others. */
export interface HolderWord {
  /** Engines that have changed since the version that the reader has taken. */
  readonly engines: readonly EngineWordOfHolder[];
  /** Grows with each change of an engine. */
  readonly version: number;
  readonly withheld: Readonly<Record<string, readonly string[]>>;
  /** Time until models are there, by `service model`. */
  readonly expected: Readonly<Record<string, Milliseconds>>;
}

/** How far a box has followed the holder of the order lease. */
export interface TakenWord {
  readonly holder: Incarnation;
  readonly version: number;
}

/** One box, as it tells of itself. */
export interface BoxWord {
  readonly box: string;
  readonly incarnation: Incarnation;
  /** Grows with each word of this incarnation. */
  readonly beat: number;
  /** Where callers connect. */
  readonly frontAddress: string;
  /** Where other boxes connect. */
  readonly peerAddress: string;
  readonly domain: string;
  readonly ready: boolean;
  readonly leaving: boolean;
  readonly reachesStore: boolean;
  readonly configurationVersion: number;
  /** How far the list of targets has been read. */
  readonly targetsEnd: Offset;
  readonly loads: Readonly<Record<string, TargetLoad>>;
  readonly demand: readonly ModelDemand[];
  readonly lease?: LeaseWord;
  /** Time for which the sender may go on giving orders, where it may. */
  readonly ordersForMs?: Milliseconds;
  /** The version of the holder's word that the sender has taken, and of which holder. */
  readonly taken?: TakenWord;
  readonly holder?: HolderWord;
}

/** Where another box can be asked. */
export interface BoxAddress {
  readonly box: string;
  readonly peerAddress: string;
}

/** One word and the boxes that its sender knows. */
export interface Exchange {
  readonly word: BoxWord;
  readonly known: readonly BoxAddress[];
}

/** Desired state and targets as one box has read them, each record as the store gave it. */
export interface DesiredCopy {
  readonly configurationVersion: number;
  readonly configuration?: string;
  readonly targetsEnd: Offset;
  readonly targets: Readonly<Record<string, string>>;
}
