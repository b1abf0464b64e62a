/** The platform's lagging list of boxes. */
import type { LogUnavailable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type { ListedBox } from "@linkfall/types";
import type { Either } from "purify-ts";

/** What the list showed at one read. */
export interface BoxList {
  readonly boxes: readonly ListedBox[];
  /** Names of targets that the platform shows as leaving. */
  readonly leavingTargets: readonly string[];
}

export interface BoxListPort {
  read(): Promise<Either<LogUnavailable, BoxList>>;
}

export const boxListPortName = serviceName<BoxListPort>("box-list-port");
