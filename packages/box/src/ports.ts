/** Adapters through which a box accesses the clock, the network and its platform. */
import type { Clock, Random } from "@linkfall/kernel";
import type { Logger } from "@linkfall/logger";
import type { BoxListPort, EnginePort, LogPort, PeerPort, TargetPort } from "@linkfall/ports";

export interface BoxPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly log: LogPort;
  readonly boxList: BoxListPort;
  readonly peers: PeerPort;
  readonly engines: EnginePort;
  readonly targets: TargetPort;
}
