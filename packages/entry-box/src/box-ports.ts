/** The platform interfaces that a box depends on. */
import type { Clock, Random } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { KeyedStreamPort, RecordCodec, RequestCodec, RoutedEnginePort } from "@linkfall/ports";
import type { TargetConnector } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import type { StreamLog } from "@linkfall/stream-versions";

export interface EntryBoxPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Shared with the ports, which record metrics of their own. */
  readonly metrics: Metrics;
  /** Written by operators only. */
  readonly configurationStream: KeyedStreamPort;
  /** Written by targets only. */
  readonly targetStream: KeyedStreamPort;
  /** Where boxes register their peer addresses. */
  readonly boxStream: KeyedStreamPort;
  /** Where boxes claim the order lease. */
  readonly leaseStream: KeyedStreamPort;
  /** Where boxes record the software versions that services have had. */
  readonly softwareVersionStream: KeyedStreamPort;
  /** Log in which boxes record the software versions that began streams. */
  readonly streamVersionLog: StreamLog;
  /** Where boxes persist requests that are held back because they crashed targets. */
  readonly heldStream: KeyedStreamPort;
  /** Key of the record that holds the whole configuration. */
  readonly configurationKey: string;
  readonly records: RecordCodec;
  readonly requests: RequestCodec;
  readonly engines: RoutedEnginePort;
  /** Opens the connections over which requests are sent to targets. */
  readonly connectToTarget: TargetConnector;
  /** Fraction of the time since the last call that this process was busy, from 0 to 1. */
  processorUtilization(): number;
  /** Total time for which the event loop of this process was blocked; absent if it is not measured. */
  heldUpMs?(): number;
  /**
   * Start of the blocked period of the event loop whose input is being read; undefined if there is none. Absent if it is not
   * measured.
   */
  unreadSince?(): Milliseconds | undefined;
  /** Iterations of the event loop since the process started. */
  loopIterations(): number;
  /** Total time for which the event loop had nothing to do. */
  loopIdleMs(): Milliseconds;
}
