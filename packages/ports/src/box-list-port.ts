/** Access to the platform's list of boxes, which is eventually consistent. */
import type { LogUnavailable } from "@linkfall/errors";
import { serviceName } from "@linkfall/kernel";
import type { ListedBox } from "@linkfall/types";
import type { Either } from "purify-ts";

/** Result of one read of the list. */
export interface BoxList {
  readonly boxes: readonly ListedBox[];
  /** Names of targets that the platform lists as leaving. */
  readonly leavingTargets: readonly string[];
}

export interface BoxListPort {
  read(): Promise<Either<LogUnavailable, BoxList>>;
}

export const boxListPortName = serviceName<BoxListPort>("box-list-port");
