/** What a box that forwards opaque requests needs of its surroundings. */
import type { Clock, Random } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { Metrics } from "@linkfall/metrics";
import type { KeyedStreamPort, RecordCodec, RequestCodec, RoutedEnginePort } from "@linkfall/ports";

export interface EntryBoxPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** The ports record into it as well. */
  readonly metrics: Metrics;
  /** Written by operators only. */
  readonly configurationStream: KeyedStreamPort;
  /** Written by targets only. */
  readonly targetStream: KeyedStreamPort;
  /** Where boxes leave their addresses. */
  readonly boxStream: KeyedStreamPort;
  /** Where boxes claim the order lease. */
  readonly leaseStream: KeyedStreamPort;
  /** Where boxes keep the requests that they hold back. */
  readonly heldStream: KeyedStreamPort;
  /** Key of the record that holds the whole configuration. */
  readonly configurationKey: string;
  readonly records: RecordCodec;
  readonly requests: RequestCodec;
  readonly engines: RoutedEnginePort;
  /** Share of the time since the last call in which this process was at work, from 0 to 1. */
  processorUtilization(): number;
  /** Turns of this process's event loop since its start. */
  loopIterations(): number;
}
